package main

import (
	"slices"

	"coralrelay/internal/fleet/account"
)

// inheritAll is the flag value that stands for all zones, tenants or classes of the parent.
const inheritAll = "all"

// limitFlags are the flags for the limits of an account, a team or a route. A flag that is not
// given is nil and leaves its limit unchanged.
type limitFlags struct {
	Connections *float64 `name:"open" help:"Established connections. For all limits, a negative value sets no bound and 0 allows nothing; write --open=-1."`
	SetupRate   *float64 `name:"rate" help:"Session set-ups per second."`
	RetryRate   *float64 `name:"retries" help:"Retries per second."`
	ProbeRate   *float64 `name:"probes" help:"Probes per second."`
}

// applyTo sets the limits whose flags are given.
func (f *limitFlags) applyTo(limits *account.Limits) {
	override(&limits.Connections, f.Connections)
	override(&limits.SetupRate, f.SetupRate)
	override(&limits.RetryRate, f.RetryRate)
	override(&limits.ProbeRate, f.ProbeRate)
}

// nodeFlags are the flags for the attributes of an account or a team. A flag that is not given
// leaves its attribute unchanged.
type nodeFlags struct {
	limitFlags
	Routes     *int     `help:"Maximum number of routes in the whole subtree."`
	Teams      *int     `help:"Maximum number of teams in the whole subtree."`
	Overcommit *float64 `help:"Multiple of its limits that its teams and routes may hold in total; at least 1."`
	Priority   *int     `help:"The lowest values are reduced last when the limits of the parent shrink."`
	Zones      []string `help:"Zones and regions that it may use; 'all' for those of the parent."`
	Tenants    []string `help:"Tenants that its routes may match; 'all' for those of the parent."`
	Classes    []string `help:"Classes that its routes may match; 'all' for those of the parent."`
}

// withOverrides returns a copy of node with the attributes set whose flags are given.
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

func override[T any](value *T, flag *T) {
	if flag != nil {
		*value = *flag
	}
}

func overrideList(list *[]string, flag []string) {
	switch {
	case slices.Equal(flag, []string{inheritAll}):
		*list = nil
	case len(flag) > 0:
		*list = flag
	}
}
