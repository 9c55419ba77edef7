package account

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const epochStart = 1_000_000 * time.Second // an epoch's begin

var testLeaseConfig = LeaseConfig{Epoch: time.Second, HolderTimeout: 30 * time.Second}

// lent is an account whose two teams may each use all of it.
func newOvercommittedState(rate float64) State {
	l := Limits{Connections: 20, SetupRate: rate, RetryRate: rate, ProbeRate: -1, Routes: 9, Teams: 9}
	s, err := New(testPublicKey(0)).Apply(Change{Ops: []Op{{Kind: CreateAccount, Path: "acme", Node: &Node{Limits: l, Overcommit: 2}},
		{Kind: CreateTeam, Path: "acme/web", Node: &Node{Limits: Limits{20, rate, rate / 2, -1, 9, 0}}},
		{Kind: CreateTeam, Path: "acme/shop", Node: &Node{Limits: Limits{10, rate * 0.7, 0, 5, 9, 0}}}, putRouteOp("acme/web", "r", Match{})}}, testKey(0))
	if err != nil {
		panic(err)
	}
	return s
}

func memberNames(n int) (all []string) {
	for i := range n {
		all = append(all, fmt.Sprint("m", i))
	}
	return all
}

// member spends what it may, as a node does: every level needs room.
type testMember struct {
	Usage
	lease    QuotaLease
	received map[string]Usage
}

func (m *testMember) spend(paths []string, wanted int) (n int) {
	for range wanted {
		for _, p := range paths {
			if m.Used[p].Setups+1 > m.lease.Allocated[p].Setups {
				return n
			}
		}
		for _, p := range paths {
			f := m.Used[p]
			f.Setups++
			m.Used[p] = f
		}
		n++
	}
	return n
}

// Whatever words are lost, late or heard twice, all members together use no more of any
// limit within an epoch than the limit for an epoch, and one. Cut apart for longer than the
// hold, the side that counts more than half deals the whole, and each on another side has
// its even part and one token a half epoch more at most.
func TestAllMembersTogetherStayWithinTheLimit(t *testing.T) {
	pathsOfSession := [][]string{{"acme", "acme/web", "acme/web:r"}, {"acme", "acme/web"}, {"acme", "acme/shop"}}
	rapid.Check(t, func(t *rapid.T) {
		n, rate := rapid.IntRange(1, 9).Draw(t, "members"), rapid.Float64Range(0, 40).Draw(t, "rate")
		s, cfg, all := newOvercommittedState(rate), testLeaseConfig, memberNames(n)
		side, separated := make([]int, n), 0
		if cfg.FleetSize = n; rapid.Bool().Draw(t, "cut apart") {
			sizes := [3]int{}
			for i := range side {
				side[i] = rapid.IntRange(0, 2).Draw(t, "side")
				sizes[side[i]]++
			}
			if separated = n - max(sizes[0], sizes[1], sizes[2]); 2*(n-separated) <= n {
				separated = n
			}
		}
		members := make([]testMember, n)
		for i := range members {
			members[i].received = map[string]Usage{}
		}
		for halfEpoch := range 2 * rapid.IntRange(1, 5).Draw(t, "epochs") {
			now := epochStart + time.Duration(halfEpoch)*cfg.Epoch/2
			for i := range members { // words of a half's end, before anyone's first tokens of the next
				m := &members[i]
				m.Usage = Usage{Member: all[i], ReportedAt: now, HalfEpoch: cfg.halfEpoch(now), UsedBefore: m.Used, Used: map[string]Amounts{},
					Demand: map[string]Amounts{"acme/web": {Setups: float64(rapid.IntRange(0, 20).Draw(t, "wanted"))}}}
				for j := range members {
					if j == i || side[i] == side[j] && rapid.IntRange(0, 2).Draw(t, "heard") > 0 {
						members[j].received[all[i]] = m.Usage
					}
				}
			}
			for i := range members {
				var holders []string
				for j, name := range all {
					if side[i] == side[j] {
						holders = append(holders, name)
					}
				}
				var reports []Usage
				for _, u := range members[i].received {
					reports = append(reports, u, u)
				}
				members[i].lease = Allocate(now, cfg, s, reports, holders, all[i])
				for _, paths := range pathsOfSession {
					members[i].spend(paths, rapid.IntRange(0, 30).Draw(t, "spent"))
				}
			}
			if halfEpoch%2 == 0 {
				continue
			}
			for _, path := range []string{"acme", "acme/web", "acme/shop"} {
				sum, l := 0.0, s.Nodes[path].Limits.SetupRate
				for _, m := range members {
					sum += m.Used[path].Setups + m.UsedBefore[path].Setups
				}
				limit := math.Floor(l) + 1
				if separated > 0 {
					limit = l*float64(n-separated)/float64(n) + l*float64(separated)/float64(n) + 2*float64(separated)
					if separated < n {
						limit = math.Floor(l) + 1 + l*float64(separated)/float64(n) + 2*float64(separated)
					}
				}
				if sum > limit {
					t.Fatalf("%s: %v within an epoch, %v at most (limit %v, %d of %d away)", path, sum, limit, l, separated, n)
				}
			}
		}
	})
}

// An unused part is lent to a sibling within the member, and is back with the next half.
func TestUnusedShareIsLentAndRecalled(t *testing.T) {
	for _, tt := range []struct {
		web, shop float64 // wanted
		ignore    bool
		has, had  float64 // of web, of shop
	}{
		{100, 0, false, 20, 0}, {100, 3, false, 17, 3}, {100, 100, false, 10, 10}, {4, 100, false, 6, 14}, {2, 3, false, 17, 14},
		{100, 100, true, 20, 0},
	} {
		s := newOvercommittedState(40) // 20 a member in a half epoch's deal of 40 over 2
		s.DisabledChecks.LendingRecall = tt.ignore
		u := Usage{Member: "m0", ReportedAt: epochStart, HalfEpoch: testLeaseConfig.halfEpoch(epochStart), Demand: map[string]Amounts{"acme/web": {Setups: tt.web}, "acme/shop": {Setups: tt.shop}},
			Used: map[string]Amounts{"acme/web": {Setups: 20}}}
		r := Allocate(epochStart, testLeaseConfig, s, []Usage{u}, memberNames(2), "m0")
		if web, shop := r.Allocated["acme/web"].Setups, r.Allocated["acme/shop"].Setups; web != tt.has || shop != tt.had {
			t.Errorf("%+v: web %v, shop %v", tt, web, shop)
		}
		if r.Allocated["acme/web"].Probes != -1 || r.Allocated["acme"].Connections != 10 {
			t.Errorf("%+v", r.Allocated)
		}
	}
}

// In an epoch's second half what is known to be left is dealt again. A false word adds no
// more than its own part, and takes nothing from others.
func TestReallocatesUnspentTokensDespiteFalseReports(t *testing.T) {
	s, now := newOvercommittedState(40), epochStart+testLeaseConfig.Epoch/2
	report := func(name string, spent float64) Usage {
		return Usage{Member: name, ReportedAt: now, HalfEpoch: testLeaseConfig.halfEpoch(now), UsedBefore: map[string]Amounts{"acme": {Setups: spent}}}
	}
	for _, tt := range []struct {
		name    string
		reports []Usage
		want    float64 // of m0, who has spent 5 of 10; all others 10 of 10
	}{
		{"all told", []Usage{report("m0", 5), report("m1", 10), report("m2", 10), report("m3", 10)}, 2},
		{"one unheard", []Usage{report("m0", 5), report("m1", 10), report("m2", 10)}, 2},
		{"one says it spent nothing", []Usage{report("m0", 5), report("m1", 10), report("m2", 10), report("m3", 0)}, 4},
		{"one says it spent all there is", []Usage{report("m0", 5), report("m1", 10), report("m2", 10), report("m3", 1e6)}, 2},
		{"one says what can't be", []Usage{report("m0", 5), report("m1", 10), report("m2", 10), report("m3", -1e6)}, 2},
		{"nobody heard", nil, 0},
	} {
		if got := Allocate(now, testLeaseConfig, s, tt.reports, memberNames(4), "m0").Allocated["acme"].Setups; math.Abs(got-tt.want) > 1 || tt.want == 0 && got != 0 {
			t.Errorf("%s: %v more, want %v", tt.name, got, tt.want)
		}
	}
}

// The even parts of all are the limit, over any time, to the token.
func TestEvenSharesAddUpToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, s := rapid.IntRange(1, 30).Draw(t, "members"), newOvercommittedState(rapid.Float64Range(0, 40).Draw(t, "rate"))
		sum, halves := 0.0, rapid.IntRange(1, 40).Draw(t, "halves")
		for i := range n {
			for h := range halves {
				sum += AllocateEvenShare(epochStart+time.Duration(h)*testLeaseConfig.Epoch/2, testLeaseConfig, s, Usage{}, QuotaLease{HolderRank: i, HolderCount: n}).Allocated["acme"].Setups
			}
		}
		if want := s.Nodes["acme"].Limits.SetupRate * float64(halves) / 2; math.Abs(sum-want) > 1.01 {
			t.Fatalf("%v, want %v", sum, want)
		}
	})
}
