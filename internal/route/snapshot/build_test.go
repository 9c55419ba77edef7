package snapshot

import (
	"fmt"
	"testing"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/slo"
	"coralrelay/internal/route"
)

// The state's regions, scopes and contracts reach a route's bound.
func TestBuildsBoundsFromRegionsScopesAndContracts(t *testing.T) {
	regions := map[string][]string{"north": {"a", "b"}, "south": {"c"}}
	readyEndpoints := map[string]int{"a": 30, "b": 10, "c": 10}
	for _, tt := range []struct {
		name  string
		scope []string
		parts []account.ZoneShare
		at    slo.Contract
		share map[string]float64
		want  string
	}{
		{"no bound", nil, nil, slo.Contract{}, nil, "<nil>"},
		{"the account's region", []string{"north"}, nil, slo.Contract{}, nil, "[{a 1} {b 1}]"},
		{"parts of regions, by transactions", nil, []account.ZoneShare{{Zone: "north", Percent: 80}, {Zone: "south", Percent: 20}}, slo.Contract{}, nil, "[{a 1} {b 1} {c 1}]"},
		{"the account's contract", nil, nil, slo.Contract{Name: "gold", Holder: "acme"}, map[string]float64{"b": 0.5, "c": 0.5}, "[{b 1} {c 1}]"},
		{"the route's own", nil, nil, slo.Contract{Name: "gold", Holder: "acme/web:r"}, map[string]float64{"a": 0.75, "c": 0.25}, "[{a 1} {c 1}]"},
		{"another's contract", nil, nil, slo.Contract{Name: "gold", Holder: "acme/shop"}, map[string]float64{"a": 1}, "<nil>"},
		{"within the account's region", []string{"south"}, nil, slo.Contract{Name: "gold", Holder: "acme"}, map[string]float64{"b": 0.5, "c": 0.5}, "[{c 1}]"},
	} {
		r := &account.Route{Name: "r", Owner: "acme/web", ZoneShares: tt.parts}
		accounts := account.State{Nodes: map[string]*account.Node{"acme": {Scope: account.Scope{Zones: tt.scope}}, "acme/web": {}},
			Routes: map[string]*account.Route{r.Path(): r}}
		contracts := slo.State{}
		if tt.at.Name != "" {
			contracts.Contracts = []slo.Contract{tt.at}
			contracts.Allocations = []slo.Allocation{{Contract: tt.at.Name, Shares: tt.share}}
		}
		table, err := route.Compile(Build(7, accounts, contracts, regions, readyEndpoints))
		if err != nil {
			t.Fatal(err)
		}
		got := "<nil>"
		if bound := table.Find(route.Query{Class: "feed"}).Bound; bound != nil {
			got = fmt.Sprint(bound.Zones)
		}
		if got != tt.want {
			t.Errorf("%s: %s, want %s", tt.name, got, tt.want)
		}
	}
}
