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
