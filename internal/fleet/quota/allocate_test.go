package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var cfg = Config{Epoch: 1500 * time.Millisecond, LeaseTimeout: 30 * time.Second, ReportTTL: 3 * time.Second, RetryRatio: 0.2, MaxOutlierFraction: 0.25}

var warmingEndpoint = Endpoint{ID: "s", StartedAt: 7}

const startTime = 1_000_000 * 1500 * time.Millisecond // an epoch's begin

// world is some members, each with a view of its own.
type testFleet struct {
	names  []string
	states []*State
	seq    uint64
	now    time.Duration
}

func newTestFleet(n int, config Config) *testFleet {
	fleet := &testFleet{now: startTime}
	for i := range n {
		fleet.names = append(fleet.names, fmt.Sprint("n", i))
	}
	for _, name := range fleet.names {
		s := NewState(name, config)
		for _, other := range fleet.names {
			s.SetMemberStatus(fleet.now, other, Alive)
		}
		fleet.states = append(fleet.states, s)
	}
	return fleet
}

// report has member i report, and returns it for whoever hears it.
func (f *testFleet) report(index int, period int64, usages ...Usage) Report {
	f.seq++
	r := Report{Member: f.names[index], Incarnation: 1, Seq: f.seq, ReportedAt: f.now, Period: period, Usages: usages}
	f.states[index].Merge(r)
	return r
}

// Whatever reports are lost, delayed or heard twice, and however members are cut off from
// one another for less than the hold, together they spend no more within an epoch than its
// budget; cut apart for longer, no more than that on each side.
func TestMembersTogetherStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "members")
		demand := rapid.Float64Range(0, 6).Draw(t, "part")
		fleet := newTestFleet(n, cfg)
		for i := range n { // all have heard of all, once
			r := fleet.report(i, 0, Usage{Endpoint: warmingEndpoint, WarmingUp: true, Demand: demand})
			for _, s := range fleet.states {
				s.Merge(r)
			}
		}
		sides := 1
		for range rapid.IntRange(1, 6).Draw(t, "epochs") {
			if cut := rapid.IntRange(0, 3).Draw(t, "cut"); cut == 0 && n > 1 { // some are told dead
				for i, s := range fleet.states {
					for j := range fleet.names {
						if i%2 != j%2 {
							s.SetMemberStatus(fleet.now, fleet.names[j], Failed)
						}
					}
				}
				if rapid.Bool().Draw(t, "for long") {
					fleet.now += (cfg.LeaseTimeout/cfg.Epoch + 1) * cfg.Epoch
					sides = 2
					for i := range n { // each side hears its own
						r := fleet.report(i, 0, Usage{Endpoint: warmingEndpoint, WarmingUp: true, Demand: demand})
						for j, s := range fleet.states {
							if i%2 == j%2 {
								s.Merge(r)
							}
						}
					}
				}
			}
			period, _, _ := cfg.Period(fleet.now)
			budget := int(demand*float64(n)) + sides // a fraction, rounded up on each side
			spent := 0
			for phase := range int64(2) {
				used := make([]int, n)
				for i, s := range fleet.states {
					for _, d := range s.Allocate(fleet.now) {
						used[i] = rapid.IntRange(0, d.Tokens).Draw(t, "used")
						spent += used[i]
					}
				}
				fleet.now += cfg.Epoch / 2
				for i := range n {
					r := fleet.report(i, period+phase, Usage{Endpoint: warmingEndpoint, WarmingUp: true, Demand: demand, Spent: used[i]})
					for j, s := range fleet.states {
						if (sides == 1 || i%2 == j%2) && rapid.Bool().Draw(t, "heard") {
							s.Merge(r)
							s.Merge(r)
						}
					}
				}
			}
			if spent > sides*budget {
				t.Fatalf("%d spent of %d on %d sides", spent, budget, sides)
			}
		}
	})
}

// What a side deals after the hold is its own parts' sum, not the whole fleet's.
func TestTokensAfterMembershipChanges(t *testing.T) {
	for _, tt := range []struct {
		name  string
		do    func(fleet *testFleet)
		total int // of all members' tokens in a first half
	}{
		{"all there", func(*testFleet) {}, 12},
		{"one failed: it may be sending", func(fleet *testFleet) { fleet.states[0].SetMemberStatus(fleet.now, "n3", Failed) }, 12},
		{"one left", func(fleet *testFleet) {
			for _, s := range fleet.states[:3] {
				s.SetMemberStatus(fleet.now, "n3", Left)
			}
		}, 9},
		{"one failed for long", func(fleet *testFleet) {
			for _, s := range fleet.states[:3] {
				s.SetMemberStatus(fleet.now-cfg.LeaseTimeout, "n3", Failed)
			}
		}, 9},
		{"one says absurd things", func(fleet *testFleet) {
			r := fleet.report(3, 0, Usage{Endpoint: warmingEndpoint, WarmingUp: true, Demand: 1e6})
			for _, s := range fleet.states {
				s.Merge(r)
			}
		}, 18}, // clamped to three times the median
		{"one says what cannot be", func(fleet *testFleet) {
			for _, s := range fleet.states {
				s.Merge(Report{Member: "n3", Incarnation: 2, Seq: 1, Usages: []Usage{{Endpoint: warmingEndpoint, WarmingUp: true, Demand: -1}}})
				s.Merge(Report{Member: "stranger", Incarnation: 2, Seq: 1, Usages: []Usage{{Endpoint: warmingEndpoint, WarmingUp: true, Demand: 99}}})
			}
		}, 12},
	} {
		fleet := newTestFleet(4, cfg)
		for i := range 4 {
			r := fleet.report(i, 0, Usage{Endpoint: warmingEndpoint, WarmingUp: true, Demand: 3})
			for _, s := range fleet.states {
				s.Merge(r)
			}
		}
		tt.do(fleet)
		total := 0
		for _, s := range fleet.states[:3] {
			for _, d := range s.Allocate(fleet.now) {
				total += d.Tokens
			}
		}
		if fourth := fleet.states[3].Allocate(fleet.now); tt.total == 12 || tt.total == 18 {
			total += fourth[0].Tokens
		}
		if total != tt.total {
			t.Errorf("%s: %d tokens in all, want %d", tt.name, total, tt.total)
		}
	}
}

func TestUnspentTokensAreAllocatedAgain(t *testing.T) {
	fleet := newTestFleet(3, cfg)
	usage := Usage{Endpoint: warmingEndpoint, WarmingUp: true, Demand: 4}
	for i := range 3 {
		r := fleet.report(i, 0, usage)
		for _, s := range fleet.states {
			s.Merge(r)
		}
	}
	period, _, end := cfg.Period(fleet.now)
	fleet.now = end
	for i, spent := range []int{4, 0, 0} {
		usage.Spent = spent
		r := fleet.report(i, period, usage)
		for _, s := range fleet.states[:2] { // the third hears nobody else
			s.Merge(r)
		}
	}
	for i, want := range []int{2, 3, 1} { // of 8 left, and of 4 that the third knows of
		if got := fleet.states[i].Allocate(fleet.now)[0].Tokens; got < want || got > want+1 {
			t.Errorf("member %d is dealt %d, want %d or one more", i, got, want)
		}
	}
}

// Merging is the same in any order, and as often as one likes.
func TestMergeConvergesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reports []Report
		for range rapid.IntRange(1, 12).Draw(t, "reports") {
			reports = append(reports, Report{Member: fmt.Sprint("n", rapid.IntRange(0, 3).Draw(t, "member")),
				Incarnation: int64(rapid.IntRange(1, 2).Draw(t, "boot")), Seq: uint64(rapid.IntRange(1, 4).Draw(t, "seq"))})
		}
		for i := range reports { // one number, one word
			reports[i].FirstAttempts = float64(reports[i].Incarnation)*10 + float64(reports[i].Seq)
		}
		first, second := newTestFleet(4, cfg).states[0], newTestFleet(4, cfg).states[0]
		for _, r := range reports {
			first.Merge(r)
		}
		for _, r := range rapid.Permutation(append(slices.Clone(reports), reports...)).Draw(t, "order") {
			second.Merge(r)
		}
		for name := range first.members {
			x, y := first.members[name].report, second.members[name].report
			if (x == nil) != (y == nil) || x != nil && x.FirstAttempts != y.FirstAttempts {
				t.Fatalf("%s: %v and %v", name, x, y)
			}
		}
	})
}
