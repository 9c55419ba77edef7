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
	Put    routePutCmd    `cmd:"" help:"Create a route, or replace it completely."`
	Delete routeDeleteCmd `name:"drop" cmd:"" help:"Delete a route."`
	List   routeListCmd   `cmd:"" help:"List routes in the order of their precedence, as an agent has them."`
}

// routePutCmd implements "route put", which creates or replaces a route.
type routePutCmd struct {
	Owner      string   `arg:"" help:"Path of the account or team, such as acme/web."`
	Name       string   `arg:"" help:"The route's name."`
	Class      string   `help:"Match only this class."`
	Tenant     string   `help:"Match only this tenant (realm)."`
	Group      string   `help:"Match only this group's key."`
	HashFrom   float64  `name:"from" help:"Match only groups whose hash, scaled to 0 to 1, is at least this value ..."`
	HashTo     float64  `name:"to" help:"... and below this value."`
	Returning  *bool    `name:"returned" help:"Match only returning sessions (with =false, only those that do not return)."`
	Retry      *bool    `help:"Match only retries (with =false, only first attempts)."`
	ZoneShares []string `name:"part" placeholder:"ZONE=PERCENT" help:"Percentage for a zone or region; the total is 100. Without this flag, all zones that the owner may use."`
	Contract   string   `help:"The contract of the route."`
	Priority   int      `help:"The lowest values are reduced last when the limits of the owner shrink."`
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
