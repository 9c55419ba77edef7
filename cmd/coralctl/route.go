package main

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"

	"coralrelay/internal/fleet/account"
)

type routeCmd struct {
	Put    routePutCmd    `cmd:"" help:"Add a route, or replace it whole."`
	Delete routeDeleteCmd `name:"drop" cmd:"" help:"Take a route away."`
	List   routeListCmd   `cmd:"" help:"List routes in the order in which they are looked at, as an agent knows them."`
}

type routePutCmd struct {
	Owner      string   `arg:"" help:"Path of the account or team, such as acme/web."`
	Name       string   `arg:"" help:"The route's name."`
	Class      string   `help:"Only this class."`
	Tenant     string   `help:"Only this tenant (realm)."`
	Group      string   `help:"Only this group's key."`
	HashFrom   float64  `name:"from" help:"Only groups whose hash is in a range, of 0 to 1: from here ..."`
	HashTo     float64  `name:"to" help:"... to below here."`
	Returning  *bool    `name:"returned" help:"Only those that return (or, with =false, that do not)."`
	Retry      *bool    `help:"Only those that are tried again (or, with =false, that are not)."`
	ZoneShares []string `name:"part" placeholder:"ZONE=PERCENT" help:"How much goes to a zone or region, 100 in all. None for all that the owner may use."`
	Contract   string   `help:"The contract it is under."`
	Priority   int      `help:"The lower keeps longest when its owner is cut."`
	limitFlags
	changeFlags
}

func (c *routePutCmd) Run() error {
	r := &account.Route{Name: c.Name, Contract: c.Contract, Priority: c.Priority, Limits: account.Limits{Connections: -1, SetupRate: -1, RetryRate: -1, ProbeRate: -1},
		Match: account.Match{Class: c.Class, Tenant: c.Tenant, Group: c.Group, HashFrom: c.HashFrom, HashTo: c.HashTo, Returning: c.Returning, Retry: c.Retry}}
	c.applyTo(&r.Limits)
	for _, part := range c.ZoneShares {
		zone, word, _ := strings.Cut(part, "=")
		percent, err := strconv.ParseFloat(word, 64)
		if err != nil {
			return fmt.Errorf("part %q: want ZONE=PERCENT", part)
		}
		r.ZoneShares = append(r.ZoneShares, account.ZoneShare{Zone: zone, Percent: percent})
	}
	return c.submit(func(s account.State) ([]account.Op, error) {
		op := account.Op{Kind: account.PutRoute, Path: c.Owner, Route: r}
		if old := s.Routes[c.Owner+":"+c.Name]; old != nil {
			op.ExpectedVersion = old.Version
		}
		return []account.Op{op}, nil
	})
}

type routeDeleteCmd struct {
	Owner string `arg:"" help:"Path of the account or team."`
	Name  string `arg:"" help:"The route's name."`
	changeFlags
}

func (c *routeDeleteCmd) Run() error {
	return c.submitOne(account.Op{Kind: account.DeleteRoute, Path: c.Owner, Name: c.Name})
}

type routeListCmd struct {
	agentFlags
	Subtree string `name:"below" help:"Only those of a subtree."`
}

func (c *routeListCmd) Run() error {
	_, s, err := c.fetchAccounts()
	if err != nil {
		return err
	}
	return printRoutes(os.Stdout, s, c.Subtree)
}

func printRoutes(out io.Writer, s account.State, below string) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "ROUTE\tMATCHES\tGOES TO\tOPEN\tRATE\tRETRIES\tPROBES\tCONTRACT")
	for _, r := range s.RoutesByPrecedence() {
		if below != "" && r.Owner != below && !strings.HasPrefix(r.Owner, below+"/") {
			continue
		}
		parts := make([]string, len(r.ZoneShares))
		for i, p := range r.ZoneShares {
			parts[i] = fmt.Sprintf("%s %v%%", p.Zone, p.Percent)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", r.Path(), formatMatch(r.Match), joinOrDash(parts),
			limitColumns(r.Limits.Connections, r.Limits.SetupRate, r.Limits.RetryRate, r.Limits.ProbeRate), orDefault(r.Contract, "-"))
	}
	return w.Flush()
}

func formatMatch(m account.Match) string {
	var words []string
	for _, f := range [][2]string{{"class", m.Class}, {"tenant", m.Tenant}, {"group", m.Group}} {
		if f[1] != "" {
			words = append(words, f[0]+" "+f[1])
		}
	}
	if m.HashFrom != 0 || m.HashTo != 0 {
		words = append(words, fmt.Sprintf("hash %v to %v", m.HashFrom, m.HashTo))
	}
	if m.Returning != nil {
		words = append(words, fmt.Sprintf("returned %v", *m.Returning))
	}
	if m.Retry != nil {
		words = append(words, fmt.Sprintf("retry %v", *m.Retry))
	}
	return orDefault(strings.Join(words, ", "), "all")
}
