package balance

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A wave scattered the members of a group over the fleet, and each new holder
// paid for the group: a tie goes to where this instance holds it.
func TestGroupMemberFollowsLastPlacement(t *testing.T) {
	set := testSettings()
	set.Connections.GroupAffinity = true
	d := newDriver(t, set, "a", "b", "c", "d", "e", "f")
	d.handle(OpenConnection{Request: Request{ID: "o", Class: "c", Group: "g"}, Server: "d"})
	for i, tt := range []struct {
		load float64
		home bool
	}{{0.2, true}, {0.9, false}} {
		id := fmt.Sprint("r", i)
		actions := d.handle(Request{ID: id, Class: "c", Group: "g", Deadline: d.now + 2*time.Second})
		for len(actionsOf[Probe](actions)) > 0 {
			server, load := actionsOf[Probe](actions)[0].Server, 0.1
			if server == "d" {
				load = tt.load
			}
			actions = d.answerProbe(server, load)
		}
		sent := actionsOf[Attempt](actions)
		if len(sent) != 1 || (sent[0].Server == "d") != tt.home {
			t.Errorf("home at %.1f: sent %v", tt.load, sent)
		}
	}
}

// Many instances see a few members of a group each. Where its first home is fuller than
// the usual, or full, their members scattered over the fleet, and each new holder paid.
func TestInstancesAgreeOnGroupServers(t *testing.T) {
	set := testSettings()
	set.Connections.GroupAffinity, set.Instances = true, 40
	ids := make([]string, 20)
	for i := range ids {
		ids[i] = fmt.Sprint("s", i)
	}
	loads, taken := map[string]float64{}, []string{}
	for _, tt := range []struct {
		name  string
		usual float64 // load of all others
		homes float64 // load of the homes that were taken before
	}{{"an easy fleet", 0.3, 0}, {"a home above the usual", 0.3, 0.65}, {"one home is full", 0.6, 0.9}, {"two are", 0.6, 0.9}} {
		for _, id := range ids {
			loads[id] = tt.usual
		}
		for _, id := range taken {
			loads[id] = tt.homes
		}
		at := map[string]int{}
		for i := range set.Instances {
			d := newDriver(t, set, ids...)
			d.balancer.rng = rand.New(rand.NewPCG(uint64(i), 7))
			actions := d.handle(Request{ID: "r", Class: "c", Group: "g", Deadline: d.now + 2*time.Second})
			for len(actionsOf[Probe](actions)) > 0 {
				server := actionsOf[Probe](actions)[0].Server
				actions = d.answerProbe(server, loads[server])
			}
			for _, sent := range actionsOf[Attempt](actions) {
				at[sent.Server]++
			}
		}
		for id, n := range at {
			if n < set.Instances {
				t.Errorf("%s: %s has %d of %d members: %v", tt.name, id, n, set.Instances, at)
				break
			}
			if !slices.Contains(taken, id) {
				taken = append(taken, id)
			}
		}
	}
	if len(taken) != 3 {
		t.Errorf("homes %v, want three in all", taken)
	}
}

// A group's homes are those that its route and the fleet allow, and it gathers there.
func TestAffinityServersRespectConstraints(t *testing.T) {
	set := testSettings()
	set.Connections.GroupAffinity = true
	d := newDriver(t, set)
	var list []ServerEntry
	for i := range 120 {
		list = append(list, ServerEntry{ID: fmt.Sprint("s", i), Zone: fmt.Sprint(i % 12)})
	}
	d.updateList(ListFull, list...)
	d.leaseQuota(QuotaLease{Zones: []ZoneQuota{{"3", 0, -1}}})
	got := d.placeMany(Request{Group: "g", Constraint: onlyZones("3", "7")}, 50)
	for at := range got {
		if s := d.balancer.servers.byID[at]; s == nil || s.Zone != "7" {
			t.Errorf("%q took members", at)
		}
	}
	if most := slices.Max(slices.Collect(maps.Values(got))); most < 40 {
		t.Errorf("%v, want nearly all in one place", got)
	}
}
