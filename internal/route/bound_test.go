package route

import (
	"fmt"
	"testing"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/agentapi/routeupdate"
)

// Each pair of what bounds a route: what comes first is never widened by what comes later.
func TestLaterBoundsNeverWidenEarlierOnes(t *testing.T) {
	type zones = []string
	type shares = map[string]float64
	type counts = map[string]int
	percents := func(a, b float64) []account.ZoneShare {
		return []account.ZoneShare{{Zone: "a", Percent: a}, {Zone: "b", Percent: b}}
	}
	onlyB := []account.ZoneShare{{Zone: "b", Percent: 100}}
	for _, tt := range []struct {
		name       string
		allowed    zones
		zoneShares []account.ZoneShare
		allocation shares // of the contract; nil for none
		ready      counts
		want       string // zones and shares
	}{
		{"nothing bounds it", nil, nil, nil, nil, "anywhere"},
		{"owner's zones", zones{"a", "b"}, nil, nil, nil, "[{a 1} {b 1}]"},
		{"a canary", nil, percents(20, 80), nil, nil, "[{a 0.25} {b 1}]"},
		{"a canary in a large zone", nil, percents(50, 50), nil, counts{"a": 40, "b": 10}, "[{a 0.25} {b 1}]"},
		{"a contract", nil, nil, shares{"a": 0.2, "b": 0.8}, nil, "[{a 0.25} {b 1}]"},
		{"owner before shares", zones{"a"}, percents(50, 50), nil, nil, "[{a 1}]"},
		{"owner before shares that lead out", zones{"a"}, onlyB, nil, nil, "[]"},
		{"owner before contract", zones{"a"}, nil, shares{"a": 0.1, "b": 0.9}, nil, "[{a 1}]"},
		{"owner before contract that leads out", zones{"a", "c"}, nil, shares{"b": 1}, nil, "[{a 1} {c 1}]"},
		{"shares before contract", nil, percents(0, 100), shares{"a": 1}, nil, "[{b 1}]"},
		{"shares before what a contract explores", nil, onlyB, shares{"a": 0.02, "b": 0.98}, nil, "[{b 1}]"},
		{"contract within shares", nil, percents(50, 50), shares{"a": 1}, nil, "[{a 1}]"},
		{"contract before locality", nil, nil, shares{"far": 1}, counts{"near": 9, "far": 1}, "[{far 1}]"},
		{"bad shares", nil, nil, shares{"a": -1, "b": 0}, nil, "anywhere"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			entry := routeupdate.Entry{Name: "r", Owner: "acme", Contract: "c",
				AllowedZones: tt.allowed, ZoneShares: tt.zoneShares}
			var allocation *routeupdate.Allocation
			if tt.allocation != nil {
				allocation = &routeupdate.Allocation{Contract: "c", Shares: tt.allocation}
			}
			got := "anywhere"
			if bound := resolveBound(&entry, allocation, tt.ready); bound != nil {
				got = fmt.Sprint(bound.Zones)
				if bound.DefaultShare != 0 || bound.Name != "acme:r" {
					t.Errorf("%+v", bound)
				}
			}
			if got != tt.want {
				t.Errorf("%s, want %s", got, tt.want)
			}
		})
	}
}
