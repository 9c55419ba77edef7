package quota

import (
	"testing"

	"pgregory.net/rapid"
)

// partitionedFleet is a fleet that a network partition may split into two sides: the members with
// even and with odd numbers.
type partitionedFleet struct {
	*testFleet
	sides  int
	demand float64
}

// isReachable reports whether member i receives what member j reports.
func (f *partitionedFleet) isReachable(i, j int) bool { return f.sides == 1 || i%2 == j%2 }

// suspectOtherSide marks, on every member, the members of the other side as failed.
func (f *partitionedFleet) suspectOtherSide() {
	for i, state := range f.states {
		for j, name := range f.names {
			if i%2 != j%2 {
				state.SetMemberStatus(f.now, name, Failed)
			}
		}
	}
}

// expireOtherSide advances the time past the lease timeout, so that each side allocates from its own
// reports alone.
func (f *partitionedFleet) expireOtherSide() {
	f.now += (cfg.LeaseTimeout/cfg.Epoch + 1) * cfg.Epoch
	f.sides = 2
	for i := range f.names {
		report := f.report(i, 0, warmingUsage(f.demand))
		for j, state := range f.states {
			if f.isReachable(i, j) {
				state.Merge(report)
			}
		}
	}
}

// spendPeriod makes every member spend some of its tokens and report them, with each report delivered
// twice to a random subset of the reachable members. It returns the number of tokens spent.
func (f *partitionedFleet) spendPeriod(t *rapid.T, period int64) (spent int) {
	used := make([]int, len(f.states))
	for i, state := range f.states {
		for _, grant := range state.Allocate(f.now) {
			used[i] = rapid.IntRange(0, grant.Tokens).Draw(t, "used")
			spent += used[i]
		}
	}
	f.now += cfg.Epoch / 2
	for i := range f.names {
		usage := warmingUsage(f.demand)
		usage.Spent = used[i]
		report := f.report(i, period, usage)
		for j, state := range f.states {
			if f.isReachable(i, j) && rapid.Bool().Draw(t, "heard") {
				state.Merge(report)
				state.Merge(report)
			}
		}
	}
	return spent
}

// All members together spend no more than the budget within an epoch, even if reports are lost,
// delayed or duplicated and the fleet is partitioned for less than the lease timeout. In a longer
// partition, the bound holds for each side.
func TestMembersTogetherStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(1, 9).Draw(t, "members")
		demand := rapid.Float64Range(0, 6).Draw(t, "part")
		fleet := &partitionedFleet{testFleet: newTestFleet(members), sides: 1, demand: demand}
		for i := range members { // every member has received one report of every other
			fleet.reportToAll(i, warmingUsage(demand))
		}
		for range rapid.IntRange(1, 6).Draw(t, "epochs") {
			if cut := rapid.IntRange(0, 3).Draw(t, "cut"); cut == 0 && members > 1 {
				fleet.suspectOtherSide()
				if rapid.Bool().Draw(t, "for long") {
					fleet.expireOtherSide()
				}
			}
			period, _, _ := cfg.Period(fleet.now)
			budget := int(demand*float64(members)) + fleet.sides // each side may round up a fraction
			spent := fleet.spendPeriod(t, period) + fleet.spendPeriod(t, period+1)
			if spent > fleet.sides*budget {
				t.Fatalf("%d spent of %d on %d sides", spent, budget, fleet.sides)
			}
		}
	})
}

// After the lease timeout, the budget is the sum of the demands of the remaining lease holders, not
// of the whole fleet.
func TestTokensAfterMembershipChanges(t *testing.T) {
	for _, tt := range []struct {
		name  string
		do    func(fleet *testFleet)
		total int // sum of all members' tokens in a first period
	}{
		{"all members alive", func(*testFleet) {}, 12},
		{"one failed: it may still open connections", func(fleet *testFleet) {
			fleet.states[0].SetMemberStatus(fleet.now, "n3", Failed)
		}, 12},
		{"one left", func(fleet *testFleet) {
			for _, state := range fleet.states[:3] {
				state.SetMemberStatus(fleet.now, "n3", Left)
			}
		}, 9},
		{"one failed a lease timeout ago", func(fleet *testFleet) {
			for _, state := range fleet.states[:3] {
				state.SetMemberStatus(fleet.now-cfg.LeaseTimeout, "n3", Failed)
			}
		}, 9},
		{"one reports an excessive demand", func(fleet *testFleet) {
			fleet.reportToAll(3, warmingUsage(1e6))
		}, 18}, // limited to three times the median
		{"implausible report and unknown member", func(fleet *testFleet) {
			for _, state := range fleet.states {
				state.Merge(Report{Member: "n3", Incarnation: 2, Seq: 1, Usages: []Usage{warmingUsage(-1)}})
				state.Merge(Report{
					Member: "stranger", Incarnation: 2, Seq: 1, Usages: []Usage{warmingUsage(99)}})
			}
		}, 12},
	} {
		fleet := newTestFleet(4)
		for i := range 4 {
			fleet.reportToAll(i, warmingUsage(3))
		}
		tt.do(fleet)
		total := 0
		for _, state := range fleet.states[:3] {
			for _, grant := range state.Allocate(fleet.now) {
				total += grant.Tokens
			}
		}
		if fourth := fleet.states[3].Allocate(fleet.now); tt.total == 12 || tt.total == 18 {
			total += fourth[0].Tokens
		}
		if total != tt.total {
			t.Errorf("%s: %d tokens in total, want %d", tt.name, total, tt.total)
		}
	}
}

func TestUnspentTokensAreReallocated(t *testing.T) {
	fleet := newTestFleet(3)
	usage := warmingUsage(4)
	for i := range 3 {
		fleet.reportToAll(i, usage)
	}
	period, _, end := cfg.Period(fleet.now)
	fleet.now = end
	for i, spent := range []int{4, 0, 0} {
		usage.Spent = spent
		report := fleet.report(i, period, usage)
		for _, state := range fleet.states[:2] { // the third member receives no report of another
			state.Merge(report)
		}
	}
	for i, want := range []int{2, 3, 1} { // shares of 8 remaining, and of 4 as seen by the third
		if got := fleet.states[i].Allocate(fleet.now)[0].Tokens; got < want || got > want+1 {
			t.Errorf("member %d is allocated %d, want %d or one more", i, got, want)
		}
	}
}

// spendRate makes every member spend some of its tokens of a rate that is drawn for each member, as if
// some had not yet received a change of the rate. It returns the tokens spent and the highest rate.
func spendRate(t *rapid.T, fleet *testFleet, endpoint Endpoint) (used []int, highestRate float64) {
	for _, state := range fleet.states {
		rate := rapid.SampledFrom([]float64{0, 2.5, 40}).Draw(t, "rate")
		highestRate = max(highestRate, rate)
		tokens := state.AllocateRate(fleet.now, endpoint, rate)
		if rate == 0 && tokens != 0 {
			t.Fatalf("%d tokens for a rate of 0", tokens)
		}
		used = append(used, rapid.IntRange(0, tokens).Draw(t, "used"))
	}
	return used, highestRate
}

// All members together spend at most half of the highest rate of a zone times Epoch within an epoch,
// even if reports are lost and the rate changes. Without a rate they spend nothing.
func TestMembersTogetherStayWithinRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(1, 9).Draw(t, "members")
		fleet := newTestFleet(members)
		zone, prior := ZoneKey("b"), make([]int, members)
		for range rapid.IntRange(1, 5).Draw(t, "epochs") {
			spent, highestRate := 0, 0.0
			for range 2 {
				period, _, end := cfg.Period(fleet.now)
				used, rate := spendRate(t, fleet, zone)
				highestRate = max(highestRate, rate)
				fleet.now = end
				for i := range members {
					spent += used[i]
					report := fleet.report(
						i, period, Usage{Endpoint: zone, Spent: used[i], PriorSpent: prior[i]})
					for _, state := range fleet.states {
						if rapid.Bool().Draw(t, "heard") {
							state.Merge(report)
						}
					}
				}
				prior = used
			}
			if limit := highestRate*cfg.Epoch.Seconds()/2 + 1; float64(spent) > limit {
				t.Fatalf("%d spent at a rate of %g per second", spent, highestRate)
			}
		}
	})
}
