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
	Key    accountKeyCmd    `cmd:"" help:"Make a key that signs changes, and print its public half."`
	List   accountListCmd   `cmd:"" help:"List accounts, teams and grants as an agent knows them."`
	Found  accountFoundCmd  `name:"found" cmd:"" help:"Add an account; the root's alone."`
	Team   accountTeamCmd   `name:"team" cmd:"" help:"Add a team below an account or a team."`
	Limits accountLimitsCmd `name:"limits" cmd:"" help:"Change limits; what is not named stays."`
	Drop   accountDropCmd   `name:"drop" cmd:"" help:"Take away an account or team that has no teams and no routes."`
	Grant  accountGrantCmd  `cmd:"" help:"Let a key act on a subtree."`
	Revoke accountRevokeCmd `cmd:"" help:"Take a key's grant away, and all that was given by it, down the line."`
	Apply  accountApplyCmd  `cmd:"" help:"Several operations in one change."`
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
type limitArgs struct {
	Open    *float64 `name:"open" help:"Standing connections. All figures: negative for no bound, 0 for nothing; write --open=-1."`
	Rate    *float64 `name:"rate" help:"Set-ups a second."`
	Retries *float64 `name:"retries" help:"Retries a second."`
	Probes  *float64 `name:"probes" help:"Probes a second."`
}

func (a *limitArgs) over(l *account.Limits) {
	put(&l.Connections, a.Open)
	put(&l.SetupRate, a.Rate)
	put(&l.RetryRate, a.Retries)
	put(&l.ProbeRate, a.Probes)
}

func put[T any](to *T, from *T) {
	if from != nil {
		*to = *from
	}
}

type nodeArgs struct {
	limitArgs
	Routes     *int     `help:"Most routes, in the whole subtree."`
	Teams      *int     `help:"Most teams, in the whole subtree."`
	Overcommit *float64 `help:"How many times its limits its teams and routes may hold together; from 1 on."`
	Priority   *int     `help:"The lower keeps longest when the parent is cut."`
	Zones      []string `help:"Zones and regions it may use; 'all' for the parent's."`
	Tenants    []string `help:"Tenants its routes may match; 'all' for the parent's."`
	Classes    []string `help:"Classes its routes may match; 'all' for the parent's."`
}

func (a *nodeArgs) over(n account.Node) *account.Node {
	a.limitArgs.over(&n.Limits)
	put(&n.Limits.Routes, a.Routes)
	put(&n.Limits.Teams, a.Teams)
	put(&n.Overcommit, a.Overcommit)
	put(&n.Priority, a.Priority)
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

type accountFoundCmd struct {
	Path string `arg:"" help:"The account's name."`
	nodeArgs
	changeArg
}

func (c *accountFoundCmd) Run() error {
	return c.one(account.Op{Kind: account.CreateAccount, Path: c.Path, Node: c.over(account.Node{})})
}

type accountTeamCmd struct {
	Path string `arg:"" help:"Its path, such as acme/web."`
	nodeArgs
	changeArg
}

func (c *accountTeamCmd) Run() error {
	return c.one(account.Op{Kind: account.CreateTeam, Path: c.Path, Node: c.over(account.Node{})})
}

type accountLimitsCmd struct {
	Path   string `arg:"" help:"An account's or team's path."`
	Shrink string `name:"shrink" enum:",proportion,priority" default:"" help:"How its teams and routes shrink where they hold more than is left: proportion or priority. Without it such a cut is refused."`
	nodeArgs
	changeArg
}

func (c *accountLimitsCmd) Run() error {
	return c.send(func(s account.State) ([]account.Op, error) {
		n := s.Nodes[c.Path]
		if n == nil {
			return nil, fmt.Errorf("%q: no such account or team", c.Path)
		}
		return []account.Op{{Kind: account.SetLimits, Path: c.Path, ExpectedVersion: n.Version, Node: c.over(*n), ShrinkPolicy: c.Shrink}}, nil
	})
}

type accountDropCmd struct {
	Path string `arg:"" help:"An account's or team's path."`
	changeArg
}

func (c *accountDropCmd) Run() error {
	return c.one(account.Op{Kind: account.DeleteNode, Path: c.Path})
}

type accountGrantCmd struct {
	Path   string   `arg:"" help:"The top of the subtree."`
	Public string   `name:"public" arg:"" help:"The public half of the key, as 'coralctl account key' prints it."`
	Acts   []string `name:"acts" required:"" help:"Some of routes, limits, teams, grants, contracts."`
	Depth  int      `name:"depth" default:"0" help:"How many times it may be handed on, one below the other."`
	changeArg
}

func (c *accountGrantCmd) Run() error {
	public, err := base64.StdEncoding.DecodeString(c.Public)
	if err != nil || len(public) != ed25519.PublicKeySize {
		return fmt.Errorf("public %.60q: want %d bytes in base64", c.Public, ed25519.PublicKeySize)
	}
	return c.one(account.Op{Kind: account.CreateGrant, Path: c.Path,
		Grant: &account.Grant{Key: account.KeyName(public), PublicKey: public, Permissions: c.Acts, DelegationDepth: c.Depth}})
}

type accountRevokeCmd struct {
	Path string `arg:"" help:"The path that the grant is on."`
	Name string `arg:"" help:"The key's name, as 'coralctl account list' has it."`
	changeArg
}

func (c *accountRevokeCmd) Run() error {
	return c.one(account.Op{Kind: account.RevokeGrant, Path: c.Path, Name: c.Name})
}

type accountListCmd struct{ agentArg }

func (c *accountListCmd) Run() error {
	_, s, err := c.accounts()
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
		fmt.Fprintf(w, "%s\t%s\t%v\t%s\n", path, figures(l.Connections, l.SetupRate, l.RetryRate, l.ProbeRate, float64(l.Routes), float64(l.Teams)), max(n.Overcommit, 1),
			strings.Join([]string{list(n.Scope.Zones), list(n.Scope.Tenants), list(n.Scope.Classes)}, "\t"))
	}
	fmt.Fprint(w, "\nKEY\tPATH\tACTS\tDEPTH\tGIVEN BY\n")
	for _, g := range s.SortedGrants() {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", g.Key, g.Path, list(g.Permissions), g.DelegationDepth, g.GrantedBy)
	}
	return w.Flush()
}

func figures(all ...float64) string {
	words := make([]string, len(all))
	for i, x := range all {
		if words[i] = fmt.Sprint(x); x < 0 {
			words[i] = "-"
		}
	}
	return strings.Join(words, "\t")
}

func list(names []string) string { return or(strings.Join(names, ","), "-") }
