package route

import (
	"fmt"
	"testing"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/agentapi/routeupdate"
)

// For each pair of rules that constrain a route, the later rule must not widen what the earlier one allows.
func TestLaterRulesNeverWidenEarlierOnes(t *testing.T) {
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
		want       string // zones and their shares
	}{
		{"no constraint", nil, nil, nil, nil, "anywhere"},
		{"owner's zones", zones{"a", "b"}, nil, nil, nil, "[{a 1} {b 1}]"},
		{"canary", nil, percents(20, 80), nil, nil, "[{a 0.25} {b 1}]"},
		{"canary in a large zone", nil, percents(50, 50), nil, counts{"a": 40, "b": 10}, "[{a 0.25} {b 1}]"},
		{"a contract", nil, nil, shares{"a": 0.2, "b": 0.8}, nil, "[{a 0.25} {b 1}]"},
		{"owner before shares", zones{"a"}, percents(50, 50), nil, nil, "[{a 1}]"},
		{"owner before shares of other zones", zones{"a"}, onlyB, nil, nil, "[]"},
		{"owner before contract", zones{"a"}, nil, shares{"a": 0.1, "b": 0.9}, nil, "[{a 1}]"},
		{"owner before contract for other zones", zones{"a", "c"}, nil, shares{"b": 1}, nil, "[{a 1} {c 1}]"},
		{"shares before contract", nil, percents(0, 100), shares{"a": 1}, nil, "[{b 1}]"},
		{"shares before exploration by a contract", nil, onlyB, shares{"a": 0.02, "b": 0.98}, nil, "[{b 1}]"},
		{"contract within shares", nil, percents(50, 50), shares{"a": 1}, nil, "[{a 1}]"},
		{"contract before locality", nil, nil, shares{"far": 1}, counts{"near": 9, "far": 1}, "[{far 1}]"},
		{"invalid shares", nil, nil, shares{"a": -1, "b": 0}, nil, "anywhere"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			entry := routeupdate.Entry{Name: "r", Owner: "acme", Contract: "c",
				AllowedZones: tt.allowed, ZoneShares: tt.zoneShares}
			var allocation *routeupdate.Allocation
			if tt.allocation != nil {
				allocation = &routeupdate.Allocation{Contract: "c", Shares: tt.allocation}
			}
			got := "anywhere"
			if constraint := resolveConstraint(&entry, allocation, tt.ready); constraint != nil {
				got = fmt.Sprint(constraint.Zones)
				if constraint.DefaultShare != 0 || constraint.Name != "acme:r" {
					t.Errorf("%+v", constraint)
				}
			}
			if got != tt.want {
				t.Errorf("%s, want %s", got, tt.want)
			}
		})
	}
}
