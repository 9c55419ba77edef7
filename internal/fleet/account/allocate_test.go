package account

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const epochStart = 1_000_000 * time.Second // beginning of an epoch

var testLeaseConfig = LeaseConfig{Epoch: time.Second, HolderTimeout: 30 * time.Second}

// newOvercommittedState returns a state with one account whose two teams may together hold more than
// the account's limits.
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

// All members together use at most the tokens of a limit for an epoch plus one, even if reports are
// lost, late or duplicated. In a network partition longer than HolderTimeout, the side that sees more
// than half of the fleet allocates the whole limit, and each member on another side uses at most its
// even share plus one token per half epoch.
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
					t.Fatalf("%s: %v within an epoch, at most %v (limit %v, %d of %d without a majority)",
						path, sum, bound, limit, f.withoutMajority, len(f.members))
				}
			}
		}
	})
}

// A member lends the unused share of a team to a sibling team for half an epoch, and recalls it when
// the team has demand again.
func TestUnusedShareIsLentAndRecalled(t *testing.T) {
	for _, tt := range []struct {
		name         string
		web, shop    float64 // demands
		withoutCheck bool    // disables the check LendingRecall
		wantWeb      float64
		wantShop     float64
	}{
		{"web alone", 100, 0, false, 20, 0},
		{"little demand of shop", 100, 3, false, 17, 3},
		{"excess demand of both", 100, 100, false, 10, 10},
		{"little demand of web", 4, 100, false, 6, 14},
		{"little demand of both", 2, 3, false, 17, 14},
		{"no recall", 100, 100, true, 20, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newOvercommittedState(40) // 20 tokens per half epoch for each of two members
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

// Tokens that are known to be unspent are reallocated in the second half of an epoch. A false report
// can add at most the share of its member, and takes nothing from other members.
func TestReallocatesUnspentTokensDespiteFalseReports(t *testing.T) {
	s, now := newOvercommittedState(40), epochStart+testLeaseConfig.Epoch/2
	report := func(name string, spent float64) Usage {
		return Usage{Member: name, ReportedAt: now, HalfEpoch: testLeaseConfig.halfEpoch(now),
			UsedBefore: map[string]Amounts{"acme": {Setups: spent}}}
	}
	m0, m1, m2 := report("m0", 5), report("m1", 10), report("m2", 10) // share of each of four members: 10
	for _, tt := range []struct {
		name    string
		reports []Usage
		want    float64 // tokens of m0
	}{
		{"all report", []Usage{m0, m1, m2, report("m3", 10)}, 2},
		{"one report is not received", []Usage{m0, m1, m2}, 2},
		{"one reports that it has spent nothing", []Usage{m0, m1, m2, report("m3", 0)}, 4},
		{"one reports an excessive amount", []Usage{m0, m1, m2, report("m3", 1e6)}, 2},
		{"one reports a negative amount", []Usage{m0, m1, m2, report("m3", -1e6)}, 2},
		{"no report is received", nil, 0},
	} {
		got := Allocate(now, testLeaseConfig, s, tt.reports, memberNames(4), "m0").Allocated["acme"].Setups
		if math.Abs(got-tt.want) > 1 || tt.want == 0 && got != 0 {
			t.Errorf("%s: %v tokens, want %v", tt.name, got, tt.want)
		}
	}
}

// The tokens of all members' even shares add up to the limit within one token, over any number of half
// epochs.
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
			t.Fatalf("even shares add up to %v, want %v", sum, want)
		}
	})
}
