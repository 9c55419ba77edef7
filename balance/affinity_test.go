package balance

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A wave scattered the members of a group over the fleet, and each new server of the group paid
// for it: a member goes to where this instance holds the group.
func TestGroupMemberFollowsLastPlacement(t *testing.T) {
	settings := testSettings()
	settings.Connections.GroupAffinity = true
	d := newDriver(t, settings, "a", "b", "c", "d", "e", "f")
	d.handle(OpenConnection{Request: Request{ID: "o", Class: "c", Group: "g"}, Server: "d"})
	for i, tt := range []struct {
		load    float64 // of the server that holds the group
		follows bool
	}{{0.2, true}, {0.9, false}} {
		request := Request{ID: fmt.Sprint("r", i), Class: "c", Group: "g", Deadline: d.now + 2*time.Second}
		actions := d.answerProbesBy(d.handle(request), func(server string) float64 {
			if server == "d" {
				return tt.load
			}
			return 0.1
		})
		attempts := actionsOf[Attempt](actions)
		if len(attempts) != 1 || (attempts[0].Server == "d") != tt.follows {
			t.Errorf("the group's server at %.1f: %v", tt.load, attempts)
		}
	}
}

// Many instances see a few members of a group each. Where the group's first server is above the
// mean, or full, their members scattered over the fleet, and each new server paid for the group.
func TestInstancesAgreeOnGroupServers(t *testing.T) {
	settings := testSettings()
	settings.Connections.GroupAffinity, settings.Instances = true, 40
	ids := make([]string, 20)
	for i := range ids {
		ids[i] = fmt.Sprint("s", i)
	}
	var taken []string
	for _, tt := range []struct {
		name      string
		load      float64 // of all others
		takenLoad float64 // of the servers that were taken before
	}{
		{"an easy fleet", 0.3, 0},
		{"a server above the mean", 0.3, 0.65},
		{"one server is full", 0.6, 0.9},
		{"two are", 0.6, 0.9},
	} {
		loads := equalLoads(tt.load, ids...)
		for _, id := range taken {
			loads[id] = tt.takenLoad
		}
		members := map[string]int{}
		for i := range settings.Instances {
			d := newDriver(t, settings, ids...)
			d.balancer.rng = rand.New(rand.NewPCG(uint64(i), 7))
			request := Request{ID: "r", Class: "c", Group: "g", Deadline: d.now + 2*time.Second}
			actions := d.answerProbesBy(d.handle(request), func(server string) float64 { return loads[server] })
			for _, attempt := range actionsOf[Attempt](actions) {
				members[attempt.Server]++
			}
		}
		for id, n := range members {
			if n < settings.Instances {
				t.Errorf("%s: %s has %d of %d members: %v", tt.name, id, n, settings.Instances, members)
				break
			}
			if !slices.Contains(taken, id) {
				taken = append(taken, id)
			}
		}
	}
	if len(taken) != 3 {
		t.Errorf("the group's servers are %v, want three in all", taken)
	}
}

// A group's servers are those that its route and the fleet allow, and it gathers there.
func TestAffinityServersRespectConstraints(t *testing.T) {
	settings := testSettings()
	settings.Connections.GroupAffinity = true
	d := newDriver(t, settings)
	var list []ServerEntry
	for i := range 120 {
		list = append(list, ServerEntry{ID: fmt.Sprint("s", i), Zone: fmt.Sprint(i % 12)})
	}
	d.updateList(ListFull, list...)
	d.leaseQuota(QuotaLease{Zones: []ZoneQuota{{"3", 0, -1}}})
	got := d.placeMany(Request{Group: "g", Constraint: onlyZones("3", "7")}, 50)
	for server := range got {
		if s := d.balancer.servers.byID[server]; s == nil || s.Zone != "7" {
			t.Errorf("%q took members", server)
		}
	}
	if most := slices.Max(slices.Collect(maps.Values(got))); most < 40 {
		t.Errorf("%v, want nearly all in one place", got)
	}
}
