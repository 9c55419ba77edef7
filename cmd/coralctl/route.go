package main

import (
	"fmt"
	"strconv"
	"strings"

	"coralrelay/internal/fleet/account"
)

// noLimit is the value of a limit that sets no bound.
const noLimit = -1

// routeCmd implements "route", the commands on routes.
type routeCmd struct {
	Put    routePutCmd    `cmd:"" help:"Add a route, or replace it whole."`
	Delete routeDeleteCmd `name:"drop" cmd:"" help:"Take a route away."`
	List   routeListCmd   `cmd:"" help:"List routes in the order in which they are looked at, as an agent knows them."`
}

// routePutCmd implements "route put", which creates or replaces a route.
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
	route, err := c.route()
	if err != nil {
		return err
	}
	return c.submit(func(accounts account.State) ([]account.Op, error) {
		op := account.Op{Kind: account.PutRoute, Path: c.Owner, Route: route}
		if existing := accounts.Routes[c.Owner+":"+c.Name]; existing != nil {
			op.ExpectedVersion = existing.Version
		}
		return []account.Op{op}, nil
	})
}

// route returns the route that the flags describe. A limit whose flag is not given sets no bound.
func (c *routePutCmd) route() (*account.Route, error) {
	shares, err := parseZoneShares(c.ZoneShares)
	if err != nil {
		return nil, err
	}
	limits := account.Limits{Connections: noLimit, SetupRate: noLimit, RetryRate: noLimit, ProbeRate: noLimit}
	c.applyTo(&limits)
	return &account.Route{
		Name: c.Name,
		Match: account.Match{
			Class:     c.Class,
			Tenant:    c.Tenant,
			Group:     c.Group,
			HashFrom:  c.HashFrom,
			HashTo:    c.HashTo,
			Returning: c.Returning,
			Retry:     c.Retry,
		},
		ZoneShares: shares,
		Limits:     limits,
		Contract:   c.Contract,
		Priority:   c.Priority,
	}, nil
}

// parseZoneShares parses shares of the form ZONE=PERCENT.
func parseZoneShares(args []string) ([]account.ZoneShare, error) {
	var shares []account.ZoneShare
	for _, arg := range args {
		zone, value, _ := strings.Cut(arg, "=")
		percent, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return nil, fmt.Errorf("part %q: want ZONE=PERCENT", arg)
		}
		shares = append(shares, account.ZoneShare{Zone: zone, Percent: percent})
	}
	return shares, nil
}

// routeDeleteCmd implements "route drop", which deletes a route.
type routeDeleteCmd struct {
	Owner string `arg:"" help:"Path of the account or team."`
	Name  string `arg:"" help:"The route's name."`
	changeFlags
}

func (c *routeDeleteCmd) Run() error {
	return c.submitOps(account.Op{Kind: account.DeleteRoute, Path: c.Owner, Name: c.Name})
}
