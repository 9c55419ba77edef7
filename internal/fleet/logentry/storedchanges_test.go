package logentry

import (
	"bytes"
	"crypto/ed25519"
	"slices"
	"time"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/slo"
	"coralrelay/internal/fleet/zonestatus"
)

// storedKey returns a fixed key pair. Seed 1 gives the root key.
func storedKey(seed byte) (private ed25519.PrivateKey, public []byte, name string) {
	private = ed25519.NewKeyFromSeed(bytes.Repeat([]byte{seed}, ed25519.SeedSize))
	public = private.Public().(ed25519.PublicKey)
	return private, public, account.KeyName(public)
}

func storedGenesis() Genesis {
	_, root, _ := storedKey(1)
	return Genesis{RootKey: root, Zones: zonestatus.Config{
		Regions:              map[string][]string{"north": {"a", "b"}, "south": {"c"}},
		Zones:                []string{"a", "b", "c", "d", "e"},
		ReportTTL:            1100 * time.Millisecond,
		MaxClockSkew:         210 * time.Millisecond,
		ConfirmInterval:      220 * time.Millisecond,
		EvacuationTimeout:    510 * time.Millisecond,
		StableInterval:       2100 * time.Millisecond,
		MinChangeInterval:    5200 * time.Millisecond,
		BaseHoldInterval:     5300 * time.Millisecond,
		MaxHoldInterval:      301 * time.Second,
		FailureResetInterval: 601 * time.Second,
		SlowStartInterval:    11 * time.Second,
		MinAttempts:          3,
		UnavailableThreshold: 0.91,
		MaxEvacuatedFraction: 0.6,
		MaxUtilization:       0.86,
		ColdCapacityFraction: 0.31,
		ColdOverloadFactor:   4,
		EndpointSetupRate:    12,
		StoreSetupRate:       900,
		RampSteps:            []float64{0.06, 0.16, 0.36, 0.71},
	}}
}

// storedChange is a change in the stored log. signerSeed is the seed of the key that signs
// it, or 0 for a member's own decision.
type storedChange struct {
	kind       Kind
	signerSeed byte
	change     any
}

func storedChanges() []storedChange {
	settings := storedChange{"settings", 0, struct{}{}} // not accepted, but part of the hash chain
	return slices.Concat(
		storedAccountChanges(), []storedChange{settings}, storedZoneChanges(), storedContractChanges())
}

func storedAccountChanges() []storedChange {
	_, key2, name2 := storedKey(2)
	_, key3, name3 := storedKey(3)
	_, key4, name4 := storedKey(4)
	acme, web, smallerWeb := storedNodes()
	eu, half, gone := storedRoutes()
	return []storedChange{
		{"accounts", 1, account.Change{Ops: []account.Op{
			{Kind: "found", Path: "acme", Node: acme},
			{Kind: "found", Path: "brew", Node: &account.Node{}},
			{Kind: "grant", Path: "acme", Grant: &account.Grant{
				Key: name2, PublicKey: key2, DelegationDepth: 2,
				Permissions: []string{"routes", "limits", "teams", "grants", "contracts"}}},
		}}},
		{"accounts", 2, account.Change{BaseVersion: 1, Ops: []account.Op{
			{Kind: "team", Path: "acme/web", Node: web},
			{Kind: "team", Path: "acme/old", Node: &account.Node{}},
			{Kind: "route", Path: "acme", Route: eu},
			{Kind: "route", Path: "acme/web", Route: half},
			{Kind: "route", Path: "acme", Route: gone},
			{Kind: "grant", Path: "acme/web", Grant: &account.Grant{
				Key: name3, PublicKey: key3, DelegationDepth: 1, Permissions: []string{"routes"}}},
			{Kind: "grant", Path: "acme/web", Grant: &account.Grant{
				Key: name4, PublicKey: key4, Permissions: []string{"limits"}}},
		}}},
		{"accounts", 2, account.Change{BaseVersion: 2, RequireUnchanged: true, Ops: []account.Op{
			{Kind: "limits", Path: "acme/web", ExpectedVersion: 2, Node: smallerWeb, ShrinkPolicy: "proportion"},
			{Kind: "drop", Path: "acme/old"},
			{Kind: "no-route", Path: "acme", Name: "gone"},
			{Kind: "revoke", Path: "acme/web", Name: name4},
		}}},
		{"accounts", 1, account.Change{BaseVersion: 3, Ops: []account.Op{
			{Kind: "limits", Path: "acme", ExpectedVersion: 1, Node: acme, ShrinkPolicy: "priority"},
			{Kind: "drop", Path: "brew"},
		}}},
	}
}

func storedNodes() (acme, web, smallerWeb *account.Node) {
	acme = &account.Node{
		Limits: account.Limits{
			Connections: 1000, SetupRate: 200, RetryRate: 50, ProbeRate: 20, Routes: 8, Teams: 4},
		Overcommit: 1.5, Priority: 5,
		Scope: account.Scope{Zones: []string{"a", "b", "c"}, Tenants: []string{"t1", "t2"}, Classes: []string{"c1", "c2"}}}
	web = &account.Node{
		Limits: account.Limits{
			Connections: 300, SetupRate: 60, RetryRate: 15, ProbeRate: 6, Routes: 2, Teams: 1},
		Priority: 1}
	smallerWeb = &account.Node{
		Limits: account.Limits{
			Connections: 250, SetupRate: 55, RetryRate: 14, ProbeRate: 5, Routes: 2, Teams: 1},
		Overcommit: 1.25, Priority: 7,
		Scope: account.Scope{Zones: []string{"a", "b"}}}
	return acme, web, smallerWeb
}

func storedRoutes() (eu, half, gone *account.Route) {
	eu = &account.Route{
		Name: "eu", Owner: "acme", Contract: "k1", Priority: 3,
		ZoneShares: []account.ZoneShare{{Zone: "a", Percent: 60}, {Zone: "b", Percent: 40}},
		Match:      account.Match{Class: "c1", Tenant: "t1", Group: "g1", Returning: new(true), Retry: new(false)},
		Limits: account.Limits{
			Connections: 30.5, SetupRate: 6.25, RetryRate: 1.5, ProbeRate: 0.5, Routes: 1, Teams: 2}}
	half = &account.Route{Name: "half", Match: account.Match{Class: "c2", Tenant: "t2", HashFrom: 0.25, HashTo: 0.75}}
	gone = &account.Route{Name: "gone", Match: account.Match{Class: "c1", Tenant: "t1"}}
	return eu, half, gone
}

func storedZoneChanges() []storedChange {
	zones := []string{"a", "b", "c", "d", "e"}
	return []storedChange{
		{"zones", 0, zonestatus.Change{Zones: zones, Shed: 0.12, Set: []zonestatus.PairStatus{
			{From: "a", To: "b", Status: zonestatus.Evacuating, ChangedAt: 1001, Failures: 1},
			{From: "a", To: "c", Status: zonestatus.Evacuating, ChangedAt: 1002, Failures: 2},
			{From: "b", To: "c", Status: zonestatus.Evacuating, ChangedAt: 1003, Failures: 3},
			{From: "c", To: "a", Status: zonestatus.Suspect, Share: 0.9, ChangedAt: 1004},
			{From: "d", To: "a", Status: zonestatus.Active, Share: 0.8, ChangedAt: 1005, Failures: 4},
			{From: "e", To: "a", Status: zonestatus.Evacuating, ChangedAt: 1006, Failures: 5},
		}}},
		{"zones", 0, zonestatus.Change{BaseVersion: 1, Zones: zones, Shed: 0.13, Set: []zonestatus.PairStatus{
			{From: "a", To: "b", Status: zonestatus.Evacuated, ChangedAt: 2001, Failures: 1},
			{From: "a", To: "c", Status: zonestatus.Evacuated, ChangedAt: 2002, Failures: 2},
			{From: "b", To: "c", Status: zonestatus.HeldBack, ChangedAt: 2003, HeldUntil: 7303, Failures: 3},
		}}},
		{"zones", 0, zonestatus.Change{BaseVersion: 2, Zones: zones, Shed: 0.14, Set: []zonestatus.PairStatus{
			{From: "a", To: "c", Status: zonestatus.Recovering, Step: 1, Share: 0.05, Rate: 9.5, ChangedAt: 3002, Failures: 2},
		}}},
	}
}

func storedContractChanges() []storedChange {
	k1 := slo.Contract{
		Name: "k1", Holder: "acme", Quantile: 0.95, Objective: 50 * time.Millisecond, ForMessages: true,
		Window: time.Minute, Target: 0.99, Priority: 2, Zones: []string{"a", "b"}}
	k2 := slo.Contract{
		Name: "k2", Holder: "acme:eu", Quantile: 0.9, Objective: 70 * time.Millisecond,
		Window: 10 * time.Second, Target: 0.98, Priority: 9}
	k3 := slo.Contract{
		Name: "k3", Holder: "acme/web", Quantile: 0.8, Objective: time.Second,
		Window: 20 * time.Second, Target: 0.97}
	return []storedChange{
		{"contracts", 2, slo.Change{Set: []slo.Contract{k1, k2, k3}}},
		{"contracts", 2, slo.Change{BaseVersion: 1, Drop: []string{"k3"}}},
		{"contracts", 0, slo.Change{BaseVersion: 2, Allocations: []slo.Allocation{
			{Contract: "k1", Shares: map[string]float64{"a": 1}}}}},
		{"contracts", 0, slo.Change{BaseVersion: 2, BaseAllocationVersion: 1, Allocations: []slo.Allocation{
			{Contract: "k1", Shares: map[string]float64{"a": 0.25, "b": 0.75}, Overflow: 0.125, UnmetReason: "no room"}}}},
	}
}
