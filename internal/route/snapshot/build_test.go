package snapshot

import (
	"fmt"
	"testing"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/slo"
	"coralrelay/internal/route"
)

// The regions, scopes and contracts in the state of the replicated log determine a route's constraint.
func TestBuildsConstraintsFromRegionsScopesAndContracts(t *testing.T) {
	type shares = map[string]float64
	regions := map[string][]string{"north": {"a", "b"}, "south": {"c"}}
	readyEndpoints := map[string]int{"a": 30, "b": 10, "c": 10}
	byRegion := []account.ZoneShare{{Zone: "north", Percent: 80}, {Zone: "south", Percent: 20}}
	for _, tt := range []struct {
		name       string
		scope      []string // of the account
		zoneShares []account.ZoneShare
		holder     string // of a contract; empty for none
		allocation shares
		want       string
	}{
		{"no constraint", nil, nil, "", nil, "<nil>"},
		{"the account's region", []string{"north"}, nil, "", nil, "[{a 1} {b 1}]"},
		{"shares of regions, by sessions", nil, byRegion, "", nil, "[{a 1} {b 1} {c 1}]"},
		{"the account's contract", nil, nil, "acme", shares{"b": 0.5, "c": 0.5}, "[{b 1} {c 1}]"},
		{"the route's own contract", nil, nil, "acme/web:r", shares{"a": 0.75, "c": 0.25}, "[{a 1} {c 1}]"},
		{"another team's contract", nil, nil, "acme/shop", shares{"a": 1}, "<nil>"},
		{"contract within the account's region", []string{"south"}, nil, "acme", shares{"b": 0.5, "c": 0.5}, "[{c 1}]"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			webRoute := &account.Route{Name: "r", Owner: "acme/web", ZoneShares: tt.zoneShares}
			accounts := account.State{
				Nodes: map[string]*account.Node{
					"acme":     {Scope: account.Scope{Zones: tt.scope}},
					"acme/web": {},
				},
				Routes: map[string]*account.Route{webRoute.Path(): webRoute},
			}
			contracts := slo.State{}
			if tt.holder != "" {
				contracts.Contracts = []slo.Contract{{Name: "gold", Holder: tt.holder}}
				contracts.Allocations = []slo.Allocation{{Contract: "gold", Shares: tt.allocation}}
			}
			table, err := route.Compile(Build(7, accounts, contracts, regions, readyEndpoints))
			if err != nil {
				t.Fatal(err)
			}
			got := "<nil>"
			if constraint := table.Find(route.Query{Class: "feed"}).Constraint; constraint != nil {
				got = fmt.Sprint(constraint.Zones)
			}
			if got != tt.want {
				t.Errorf("%s, want %s", got, tt.want)
			}
		})
	}
}
