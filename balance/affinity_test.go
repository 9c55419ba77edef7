package balance

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Regression test: a reconnect wave spread the members of a group over the fleet, and each additional server
// bore the cost of the whole group. A member must go to the server on which this instance already holds the
// group.
func TestGroupMemberFollowsLastPlacement(t *testing.T) {
	settings := testSettings()
	settings.Connections.GroupAffinity = true
	d := newDriver(t, settings, "a", "b", "c", "d", "e", "f")
	d.handle(OpenConnection{Request: Request{ID: "o", Class: "c", Group: "g"}, Server: "d"})
	for i, tt := range []struct {
		load    float64 // load of the server that holds the group
		follows bool
	}{{0.2, true}, {0.9, false}} {
		request := Request{ID: fmt.Sprint("r", i), Class: "c", Group: "g", Deadline: d.now + 2*time.Second}
		actions := d.answerProbesFunc(d.handle(request), func(server string) float64 {
			if server == "d" {
				return tt.load
			}
			return 0.1
		})
		attempts := actionsOf[Attempt](actions)
		if len(attempts) != 1 || (attempts[0].Server == "d") != tt.follows {
			t.Errorf("load of the group's server %.1f: unexpected attempts %v", tt.load, attempts)
		}
	}
}

// With many instances, each sees only a few members of a group. Regression test: when the group's first
// server was above the mean load or full, the instances spread the members over the fleet, and each
// additional server bore the cost of the whole group.
func TestInstancesAgreeOnGroupServers(t *testing.T) {
	settings := testSettings()
	settings.Connections.GroupAffinity, settings.Instances = true, 40
	ids := make([]string, 20)
	for i := range ids {
		ids[i] = fmt.Sprint("s", i)
	}
	var groupServers []string
	for _, tt := range []struct {
		name            string
		load            float64 // load of all other servers
		groupServerLoad float64 // load of the servers that earlier cases placed members on
	}{
		{"low load everywhere", 0.3, 0},
		{"group server above the mean", 0.3, 0.65},
		{"one group server full", 0.6, 0.9},
		{"two group servers full", 0.6, 0.9},
	} {
		loads := equalLoads(tt.load, ids...)
		for _, id := range groupServers {
			loads[id] = tt.groupServerLoad
		}
		members := map[string]int{}
		for i := range settings.Instances {
			d := newDriver(t, settings, ids...)
			d.balancer.rng = rand.New(rand.NewPCG(uint64(i), 7))
			request := Request{ID: "r", Class: "c", Group: "g", Deadline: d.now + 2*time.Second}
			actions := d.answerProbesFunc(d.handle(request), func(server string) float64 {
				return loads[server]
			})
			for _, attempt := range actionsOf[Attempt](actions) {
				members[attempt.Server]++
			}
		}
		for id, n := range members {
			if n < settings.Instances {
				t.Errorf("%s: %s received %d of %d members, want all: %v",
					tt.name, id, n, settings.Instances, members)
				break
			}
			if !slices.Contains(groupServers, id) {
				groupServers = append(groupServers, id)
			}
		}
	}
	if len(groupServers) != 3 {
		t.Errorf("the group was placed on servers %v, want three in total", groupServers)
	}
}

// The candidate servers for a group are those that the request's constraint and the zone quotas permit, and
// nearly all members are placed on one of them.
func TestAffinityServersRespectConstraints(t *testing.T) {
	settings := testSettings()
	settings.Connections.GroupAffinity = true
	d := newDriver(t, settings)
	var entries []ServerEntry
	for i := range 120 {
		entries = append(entries, ServerEntry{ID: fmt.Sprint("s", i), Zone: fmt.Sprint(i % 12)})
	}
	d.updateList(ListFull, entries...)
	d.leaseQuota(QuotaLease{Zones: []ZoneQuota{{"3", 0, -1}}})
	got := d.placeMany(Request{Group: "g", Constraint: onlyZones("3", "7")}, 50)
	for server := range got {
		if s := d.balancer.servers.byID[server]; s == nil || s.Zone != "7" {
			t.Errorf("%q received members outside the permitted zone", server)
		}
	}
	if most := slices.Max(slices.Collect(maps.Values(got))); most < 40 {
		t.Errorf("members by server %v, want at least 40 on one server", got)
	}
}
