package main

import (
	"slices"

	"coralrelay/internal/fleet/account"
)

// inheritAll stands for a parent's whole list of zones, tenants or classes.
const inheritAll = "all"

// limitFlags are the limits of an account, a team or a route. One that is not given, nil,
// stays as it is.
type limitFlags struct {
	Connections *float64 `name:"open" help:"Standing connections. All figures: negative for no bound, 0 for nothing; write --open=-1."`
	SetupRate   *float64 `name:"rate" help:"Set-ups a second."`
	RetryRate   *float64 `name:"retries" help:"Retries a second."`
	ProbeRate   *float64 `name:"probes" help:"Probes a second."`
}

// applyTo overrides the limits that are given.
func (f *limitFlags) applyTo(limits *account.Limits) {
	override(&limits.Connections, f.Connections)
	override(&limits.SetupRate, f.SetupRate)
	override(&limits.RetryRate, f.RetryRate)
	override(&limits.ProbeRate, f.ProbeRate)
}

// nodeFlags are what an account or a team may have. What is not given stays as it is.
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

// withOverrides returns the node with what is given put in.
func (f *nodeFlags) withOverrides(node account.Node) *account.Node {
	f.applyTo(&node.Limits)
	override(&node.Limits.Routes, f.Routes)
	override(&node.Limits.Teams, f.Teams)
	override(&node.Overcommit, f.Overcommit)
	override(&node.Priority, f.Priority)
	overrideList(&node.Scope.Zones, f.Zones)
	overrideList(&node.Scope.Tenants, f.Tenants)
	overrideList(&node.Scope.Classes, f.Classes)
	return &node
}

func override[T any](value *T, given *T) {
	if given != nil {
		*value = *given
	}
}

func overrideList(list *[]string, given []string) {
	switch {
	case slices.Equal(given, []string{inheritAll}):
		*list = nil
	case len(given) > 0:
		*list = given
	}
}
