package main

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/keyfile"
)

type accountCmd struct {
	Key        accountKeyCmd        `cmd:"" help:"Make a key that signs changes, and print its public half."`
	List       accountListCmd       `cmd:"" help:"List accounts, teams and grants as an agent knows them."`
	Create     accountCreateCmd     `name:"found" cmd:"" help:"Add an account; the root's alone."`
	CreateTeam accountCreateTeamCmd `name:"team" cmd:"" help:"Add a team below an account or a team."`
	SetLimits  accountSetLimitsCmd  `name:"limits" cmd:"" help:"Change limits; what is not named stays."`
	Delete     accountDeleteCmd     `name:"drop" cmd:"" help:"Take away an account or team that has no teams and no routes."`
	Grant      accountGrantCmd      `cmd:"" help:"Let a key act on a subtree."`
	Revoke     accountRevokeCmd     `cmd:"" help:"Take a key's grant away, and all that was given by it, down the line."`
	Apply      accountApplyCmd      `cmd:"" help:"Several operations in one change."`
}

type accountKeyCmd struct {
	File string `arg:"" help:"The file to write; it must not exist."`
}

func (c *accountKeyCmd) Run() error {
	path, public, err := keyfile.CreateAuthority(filepath.Dir(c.File), filepath.Base(c.File))
	if err == nil {
		fmt.Printf("key %s in %s\npublic %s\n", account.KeyName(public), path, base64.StdEncoding.EncodeToString(public))
	}
	return err
}

// limitArgs are figures of which those that are nil stay.
type limitFlags struct {
	Connections *float64 `name:"open" help:"Standing connections. All figures: negative for no bound, 0 for nothing; write --open=-1."`
	SetupRate   *float64 `name:"rate" help:"Set-ups a second."`
	RetryRate   *float64 `name:"retries" help:"Retries a second."`
	ProbeRate   *float64 `name:"probes" help:"Probes a second."`
}

func (a *limitFlags) applyTo(l *account.Limits) {
	override(&l.Connections, a.Connections)
	override(&l.SetupRate, a.SetupRate)
	override(&l.RetryRate, a.RetryRate)
	override(&l.ProbeRate, a.ProbeRate)
}

func override[T any](to *T, from *T) {
	if from != nil {
		*to = *from
	}
}

type nodeFlags struct {
	limitFlags
	Routes     *int     `help:"Most routes, in the whole subtree."`
	Teams      *int     `help:"Most teams, in the whole subtree."`
	Overcommit *float64 `help:"How many times its limits its teams and routes may hold together; from 1 on."`
	Priority   *int     `help:"The lower keeps longest when the parent is cut."`
	Zones      []string `help:"Zones and regions it may use; 'all' for the parent's."`
	Tenants    []string `help:"Tenants its routes may match; 'all' for the parent's."`
	Classes    []string `help:"Classes its routes may match; 'all' for the parent's."`
}

func (a *nodeFlags) withOverrides(n account.Node) *account.Node {
	a.limitFlags.applyTo(&n.Limits)
	override(&n.Limits.Routes, a.Routes)
	override(&n.Limits.Teams, a.Teams)
	override(&n.Overcommit, a.Overcommit)
	override(&n.Priority, a.Priority)
	for i, list := range []*[]string{&n.Scope.Zones, &n.Scope.Tenants, &n.Scope.Classes} {
		switch given := [][]string{a.Zones, a.Tenants, a.Classes}[i]; {
		case slices.Equal(given, []string{"all"}):
			*list = nil
		case len(given) > 0:
			*list = given
		}
	}
	return &n
}

type accountCreateCmd struct {
	Path string `arg:"" help:"The account's name."`
	nodeFlags
	changeFlags
}

func (c *accountCreateCmd) Run() error {
	return c.submitOne(account.Op{Kind: account.CreateAccount, Path: c.Path, Node: c.withOverrides(account.Node{})})
}

type accountCreateTeamCmd struct {
	Path string `arg:"" help:"Its path, such as acme/web."`
	nodeFlags
	changeFlags
}

func (c *accountCreateTeamCmd) Run() error {
	return c.submitOne(account.Op{Kind: account.CreateTeam, Path: c.Path, Node: c.withOverrides(account.Node{})})
}

type accountSetLimitsCmd struct {
	Path         string `arg:"" help:"An account's or team's path."`
	ShrinkPolicy string `name:"shrink" enum:",proportion,priority" default:"" help:"How its teams and routes shrink where they hold more than is left: proportion or priority. Without it such a cut is refused."`
	nodeFlags
	changeFlags
}

func (c *accountSetLimitsCmd) Run() error {
	return c.submit(func(s account.State) ([]account.Op, error) {
		n := s.Nodes[c.Path]
		if n == nil {
			return nil, fmt.Errorf("%q: no such account or team", c.Path)
		}
		return []account.Op{{Kind: account.SetLimits, Path: c.Path, ExpectedVersion: n.Version, Node: c.withOverrides(*n), ShrinkPolicy: c.ShrinkPolicy}}, nil
	})
}

type accountDeleteCmd struct {
	Path string `arg:"" help:"An account's or team's path."`
	changeFlags
}

func (c *accountDeleteCmd) Run() error {
	return c.submitOne(account.Op{Kind: account.DeleteNode, Path: c.Path})
}

type accountGrantCmd struct {
	Path            string   `arg:"" help:"The top of the subtree."`
	PublicKey       string   `name:"public" arg:"" help:"The public half of the key, as 'coralctl account key' prints it."`
	Permissions     []string `name:"acts" required:"" help:"Some of routes, limits, teams, grants, contracts."`
	DelegationDepth int      `name:"depth" default:"0" help:"How many times it may be handed on, one below the other."`
	changeFlags
}

func (c *accountGrantCmd) Run() error {
	public, err := base64.StdEncoding.DecodeString(c.PublicKey)
	if err != nil || len(public) != ed25519.PublicKeySize {
		return fmt.Errorf("public %.60q: want %d bytes in base64", c.PublicKey, ed25519.PublicKeySize)
	}
	return c.submitOne(account.Op{Kind: account.CreateGrant, Path: c.Path,
		Grant: &account.Grant{Key: account.KeyName(public), PublicKey: public, Permissions: c.Permissions, DelegationDepth: c.DelegationDepth}})
}

type accountRevokeCmd struct {
	Path string `arg:"" help:"The path that the grant is on."`
	Name string `arg:"" help:"The key's name, as 'coralctl account list' has it."`
	changeFlags
}

func (c *accountRevokeCmd) Run() error {
	return c.submitOne(account.Op{Kind: account.RevokeGrant, Path: c.Path, Name: c.Name})
}

type accountListCmd struct{ agentFlags }

func (c *accountListCmd) Run() error {
	_, s, err := c.fetchAccounts()
	if err != nil {
		return err
	}
	return printAccounts(os.Stdout, s)
}

func printAccounts(out io.Writer, s account.State) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "version %d\n\nPATH\tOPEN\tRATE\tRETRIES\tPROBES\tROUTES\tTEAMS\tOVERCOMMIT\tZONES\tTENANTS\tCLASSES\n", s.Version)
	for _, path := range s.NodePaths() {
		n := s.Nodes[path]
		l := n.Limits
		fmt.Fprintf(w, "%s\t%s\t%v\t%s\n", path, limitColumns(l.Connections, l.SetupRate, l.RetryRate, l.ProbeRate, float64(l.Routes), float64(l.Teams)), max(n.Overcommit, 1),
			strings.Join([]string{joinOrDash(n.Scope.Zones), joinOrDash(n.Scope.Tenants), joinOrDash(n.Scope.Classes)}, "\t"))
	}
	fmt.Fprint(w, "\nKEY\tPATH\tACTS\tDEPTH\tGIVEN BY\n")
	for _, g := range s.SortedGrants() {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", g.Key, g.Path, joinOrDash(g.Permissions), g.DelegationDepth, g.GrantedBy)
	}
	return w.Flush()
}

func limitColumns(all ...float64) string {
	words := make([]string, len(all))
	for i, x := range all {
		if words[i] = fmt.Sprint(x); x < 0 {
			words[i] = "-"
		}
	}
	return strings.Join(words, "\t")
}

func joinOrDash(names []string) string { return orDefault(strings.Join(names, ","), "-") }
