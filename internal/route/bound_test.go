package route

import (
	"fmt"
	"testing"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/agentapi/routeupdate"
)

// Each pair of what bounds a route: what comes first is never widened by what comes later.
func TestLaterBoundsNeverWidenEarlierOnes(t *testing.T) {
	shares := func(list ...any) (p []account.ZoneShare) {
		for i := 0; i < len(list); i += 2 {
			p = append(p, account.ZoneShare{Zone: list[i].(string), Percent: float64(list[i+1].(int))})
		}
		return p
	}
	allocate := func(shares map[string]float64) *routeupdate.Allocation {
		return &routeupdate.Allocation{Contract: "c", Shares: shares}
	}
	for _, tt := range []struct {
		name    string
		zones   []string
		parts   []account.ZoneShare
		steered *routeupdate.Allocation
		ready   map[string]int
		want    string // zones and shares
	}{
		{"nothing bounds it", nil, nil, nil, nil, "anywhere"},
		{"owner's zones", []string{"a", "b"}, nil, nil, nil, "[{a 1} {b 1}]"},
		{"a canary", nil, shares("a", 20, "b", 80), nil, nil, "[{a 0.25} {b 1}]"},
		{"a canary in a large zone", nil, shares("a", 50, "b", 50), nil, map[string]int{"a": 40, "b": 10}, "[{a 0.25} {b 1}]"},
		{"a contract", nil, nil, allocate(map[string]float64{"a": 0.2, "b": 0.8}), nil, "[{a 0.25} {b 1}]"},
		{"owner before parts", []string{"a"}, shares("a", 50, "b", 50), nil, nil, "[{a 1}]"},
		{"owner before parts that lead out", []string{"a"}, shares("b", 100), nil, nil, "[]"},
		{"owner before contract", []string{"a"}, nil, allocate(map[string]float64{"a": 0.1, "b": 0.9}), nil, "[{a 1}]"},
		{"owner before contract that leads out", []string{"a", "c"}, nil, allocate(map[string]float64{"b": 1}), nil, "[{a 1} {c 1}]"},
		{"parts before contract", nil, shares("a", 0, "b", 100), allocate(map[string]float64{"a": 1}), nil, "[{b 1}]"},
		{"parts before what a contract explores", nil, shares("b", 100), allocate(map[string]float64{"a": 0.02, "b": 0.98}), nil, "[{b 1}]"},
		{"contract within parts", nil, shares("a", 50, "b", 50), allocate(map[string]float64{"a": 1}), nil, "[{a 1}]"},
		{"contract before locality", nil, nil, allocate(map[string]float64{"far": 1}), map[string]int{"near": 9, "far": 1}, "[{far 1}]"},
		{"bad shares", nil, nil, allocate(map[string]float64{"a": -1, "b": 0}), nil, "anywhere"},
	} {
		e := routeupdate.Entry{Name: "r", Owner: "acme", AllowedZones: tt.zones, ZoneShares: tt.parts, Contract: "c"}
		got := "anywhere"
		if bound := resolveBound(&e, tt.steered, tt.ready); bound != nil {
			if got = fmt.Sprint(bound.Zones); bound.DefaultShare != 0 || bound.Name != "acme:r" {
				t.Errorf("%s: %+v", tt.name, bound)
			}
		}
		if got != tt.want {
			t.Errorf("%s: %s, want %s", tt.name, got, tt.want)
		}
	}
}
