package account

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const epochStart = 1_000_000 * time.Second // when some epoch begins

var testLeaseConfig = LeaseConfig{Epoch: time.Second, HolderTimeout: 30 * time.Second}

// newOvercommittedState returns an account whose two teams may together use more than all of it.
func newOvercommittedState(rate float64) State {
	account := Limits{Connections: 20, SetupRate: rate, RetryRate: rate, ProbeRate: -1, Routes: 9, Teams: 9}
	web := Limits{Connections: 20, SetupRate: rate, RetryRate: rate / 2, ProbeRate: -1, Routes: 9}
	shop := Limits{Connections: 10, SetupRate: rate * 0.7, RetryRate: 0, ProbeRate: 5, Routes: 9}
	s, err := New(testPublicKey(0)).Apply(Change{Ops: []Op{
		{Kind: CreateAccount, Path: "acme", Node: &Node{Limits: account, Overcommit: 2}},
		{Kind: CreateTeam, Path: "acme/web", Node: &Node{Limits: web}},
		{Kind: CreateTeam, Path: "acme/shop", Node: &Node{Limits: shop}},
		putRouteOp("acme/web", "r", Match{}),
	}}, testKey(0))
	if err != nil {
		panic(err)
	}
	return s
}

func memberNames(count int) (names []string) {
	for i := range count {
		names = append(names, fmt.Sprint("m", i))
	}
	return names
}

// testMember spends what it may, as a node does: every level needs capacity.
type testMember struct {
	Usage
	side     int // of a network partition
	lease    QuotaLease
	received map[string]Usage
}

// spend uses up to so many set-ups on some paths together.
func (m *testMember) spend(paths []string, wanted int) {
	for range wanted {
		for _, path := range paths {
			if m.Used[path].Setups+1 > m.lease.Allocated[path].Setups {
				return
			}
		}
		for _, path := range paths {
			amounts := m.Used[path]
			amounts.Setups++
			m.Used[path] = amounts
		}
	}
}

// testFleet is members that may be partitioned.
type testFleet struct {
	cfg       LeaseConfig
	state     State
	names     []string
	members   []testMember
	separated int // members that don't see more than half of the fleet
}

func drawFleet(t *rapid.T) *testFleet {
	count, rate := rapid.IntRange(1, 9).Draw(t, "members"), rapid.Float64Range(0, 40).Draw(t, "rate")
	f := &testFleet{
		cfg:     testLeaseConfig,
		state:   newOvercommittedState(rate),
		names:   memberNames(count),
		members: make([]testMember, count),
	}
	f.cfg.FleetSize = count
	for i := range f.members {
		f.members[i].received = map[string]Usage{}
	}
	if !rapid.Bool().Draw(t, "partitioned") {
		return f
	}
	sizes := [3]int{}
	for i := range f.members {
		f.members[i].side = rapid.IntRange(0, 2).Draw(t, "side")
		sizes[f.members[i].side]++
	}
	f.separated = count - max(sizes[0], sizes[1], sizes[2])
	if 2*(count-f.separated) <= count {
		f.separated = count
	}
	return f
}

// exchangeReports has each member report at a half's end, before any of them spends in the next.
// Reports to others of its side may be lost.
func (f *testFleet) exchangeReports(t *rapid.T, now time.Duration) {
	for i := range f.members {
		m := &f.members[i]
		m.Usage = Usage{
			Member:     f.names[i],
			ReportedAt: now,
			HalfEpoch:  f.cfg.halfEpoch(now),
			UsedBefore: m.Used,
			Used:       map[string]Amounts{},
			Demand:     map[string]Amounts{"acme/web": {Setups: float64(rapid.IntRange(0, 20).Draw(t, "demand"))}},
		}
		for j := range f.members {
			if j == i || m.side == f.members[j].side && rapid.IntRange(0, 2).Draw(t, "received") > 0 {
				f.members[j].received[f.names[i]] = m.Usage
			}
		}
	}
}

// spend has each member take its lease, with each report received twice, and use some of it.
func (f *testFleet) spend(t *rapid.T, now time.Duration) {
	sessions := [][]string{{"acme", "acme/web", "acme/web:r"}, {"acme", "acme/web"}, {"acme", "acme/shop"}}
	for i := range f.members {
		m := &f.members[i]
		var holders []string
		for j, name := range f.names {
			if m.side == f.members[j].side {
				holders = append(holders, name)
			}
		}
		var reports []Usage
		for _, usage := range m.received {
			reports = append(reports, usage, usage)
		}
		m.lease = Allocate(now, f.cfg, f.state, reports, holders, f.names[i])
		for _, paths := range sessions {
			m.spend(paths, rapid.IntRange(0, 30).Draw(t, "spent"))
		}
	}
}

// spentInEpoch is what all members have spent in the last two halves.
func (f *testFleet) spentInEpoch(path string) (sum float64) {
	for _, m := range f.members {
		sum += m.Used[path].Setups + m.UsedBefore[path].Setups
	}
	return sum
}

// bound is what all members may spend of a limit in an epoch.
func (f *testFleet) bound(limit float64) float64 {
	count, separated := float64(len(f.members)), float64(f.separated)
	switch {
	case separated == 0:
		return math.Floor(limit) + 1
	case separated < count:
		return math.Floor(limit) + 1 + limit*separated/count + 2*separated
	}
	return limit*(count-separated)/count + limit*separated/count + 2*separated
}

// Whatever reports are lost, late or received twice, all members together use no more of any limit
// within an epoch than the limit for an epoch, and one. Partitioned for longer than HolderTimeout,
// the side that sees more than half of the fleet allocates the whole limit, and each member on
// another side has its even share and one token a half epoch more at most.
func TestAllMembersTogetherStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		for halfEpoch := range 2 * rapid.IntRange(1, 5).Draw(t, "epochs") {
			now := epochStart + time.Duration(halfEpoch)*f.cfg.Epoch/2
			f.exchangeReports(t, now)
			f.spend(t, now)
			if halfEpoch%2 == 0 {
				continue
			}
			for _, path := range []string{"acme", "acme/web", "acme/shop"} {
				limit := f.state.Nodes[path].Limits.SetupRate
				if sum, bound := f.spentInEpoch(path), f.bound(limit); sum > bound {
					t.Fatalf("%s: %v within an epoch, %v at most (limit %v, %d of %d separated)",
						path, sum, bound, limit, f.separated, len(f.members))
				}
			}
		}
	})
}

// An unused share is lent to a sibling within the member, and is back in the next half.
func TestUnusedShareIsLentAndRecalled(t *testing.T) {
	for _, tt := range []struct {
		name         string
		web, shop    float64 // demands
		withoutCheck bool    // of the recall
		wantWeb      float64
		wantShop     float64
	}{
		{"web alone", 100, 0, false, 20, 0},
		{"shop with a little", 100, 3, false, 17, 3},
		{"both with more than there is", 100, 100, false, 10, 10},
		{"web with a little", 4, 100, false, 6, 14},
		{"both with a little", 2, 3, false, 17, 14},
		{"no recall", 100, 100, true, 20, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newOvercommittedState(40) // 20 for each of two members in half an epoch
			s.DisabledChecks.LendingRecall = tt.withoutCheck
			usage := Usage{
				Member:     "m0",
				ReportedAt: epochStart,
				HalfEpoch:  testLeaseConfig.halfEpoch(epochStart),
				Used:       map[string]Amounts{"acme/web": {Setups: 20}},
				Demand:     map[string]Amounts{"acme/web": {Setups: tt.web}, "acme/shop": {Setups: tt.shop}},
			}
			lease := Allocate(epochStart, testLeaseConfig, s, []Usage{usage}, memberNames(2), "m0")
			web, shop := lease.Allocated["acme/web"].Setups, lease.Allocated["acme/shop"].Setups
			if web != tt.wantWeb || shop != tt.wantShop {
				t.Errorf("web %v, shop %v, want %v and %v", web, shop, tt.wantWeb, tt.wantShop)
			}
			if lease.Allocated["acme/web"].Probes != -1 || lease.Allocated["acme"].Connections != 10 {
				t.Errorf("%+v", lease.Allocated)
			}
		})
	}
}

// In an epoch's second half what is known to be left is allocated again. A false report adds no
// more than its own share, and takes nothing from others.
func TestReallocatesUnspentTokensDespiteFalseReports(t *testing.T) {
	s, now := newOvercommittedState(40), epochStart+testLeaseConfig.Epoch/2
	report := func(name string, spent float64) Usage {
		return Usage{Member: name, ReportedAt: now, HalfEpoch: testLeaseConfig.halfEpoch(now),
			UsedBefore: map[string]Amounts{"acme": {Setups: spent}}}
	}
	m0, m1, m2 := report("m0", 5), report("m1", 10), report("m2", 10) // 10 for each of four
	for _, tt := range []struct {
		name    string
		reports []Usage
		want    float64 // of m0
	}{
		{"all report", []Usage{m0, m1, m2, report("m3", 10)}, 2},
		{"one is not received", []Usage{m0, m1, m2}, 2},
		{"one reports to have spent nothing", []Usage{m0, m1, m2, report("m3", 0)}, 4},
		{"one reports to have spent all there is", []Usage{m0, m1, m2, report("m3", 1e6)}, 2},
		{"one reports what can't be", []Usage{m0, m1, m2, report("m3", -1e6)}, 2},
		{"none is received", nil, 0},
	} {
		got := Allocate(now, testLeaseConfig, s, tt.reports, memberNames(4), "m0").Allocated["acme"].Setups
		if math.Abs(got-tt.want) > 1 || tt.want == 0 && got != 0 {
			t.Errorf("%s: %v more, want %v", tt.name, got, tt.want)
		}
	}
}

// The even shares of all are the limit, over any time, to the token.
func TestEvenSharesAddUpToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 30).Draw(t, "members")
		s := newOvercommittedState(rapid.Float64Range(0, 40).Draw(t, "rate"))
		halves := rapid.IntRange(1, 40).Draw(t, "halves")
		sum := 0.0
		for rank := range count {
			for half := range halves {
				now := epochStart + time.Duration(half)*testLeaseConfig.Epoch/2
				previous := QuotaLease{HolderRank: rank, HolderCount: count}
				lease := AllocateEvenShare(now, testLeaseConfig, s, Usage{}, previous)
				sum += lease.Allocated["acme"].Setups
			}
		}
		if want := s.Nodes["acme"].Limits.SetupRate * float64(halves) / 2; math.Abs(sum-want) > 1.01 {
			t.Fatalf("%v, want %v", sum, want)
		}
	})
}
