package main

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/agent"
	"coralrelay/internal/fleet/gossip"
	"coralrelay/internal/fleet/logentry"
	"coralrelay/internal/fleet/quota"
	"coralrelay/internal/fleet/replog"
	"coralrelay/internal/fleet/zonestatus"
	"coralrelay/internal/mutation"
	"coralrelay/internal/operatorconfig"
)

// newMember is this agent's part in gossip.
func newMember(f operatorconfig.Fleet, clock func() time.Duration) *gossip.Member {
	cfg := quota.Config{Epoch: f.Epoch.Duration, LeaseTimeout: f.Hold.Duration, ReportTTL: f.Fresh.Duration, RetryRatio: f.Retries, MaxOutlierFraction: f.Shun}
	guards := quota.Guards{RankedAllocation: mutation.Enabled("ranks"), LeaseExpiry: mutation.Enabled("expire"), Quorum: mutation.Enabled("quorum"), RetryBudget: mutation.Enabled("budget")}
	m := gossip.NewMember(f.Name, cfg, guards, clock)
	m.Zone = f.Zone
	if f.ReplicatedLog.IsEnabled() {
		m.ReplogAddress = f.ReplicatedLog.AdvertisedAddr()
	}
	return m
}

func zoneGuards() zonestatus.Guards {
	return zonestatus.Guards{PanicThreshold: mutation.Enabled("panic"), RecoveryRamp: mutation.Enabled("return"), ReporterConnectivity: mutation.Enabled("accuse"),
		HoldDown: mutation.Enabled("hold"), ObservingZone: mutation.Enabled("viewpoint"), Quorum: mutation.Enabled("quorum")}
}

// keepRecord opens the record and runs it until ctx ends.
func keepRecord(ctx context.Context, parts *sync.WaitGroup, f operatorconfig.Fleet, o *agent.Options) error {
	key, err := gossip.ReadKey(f.Key)
	if err != nil {
		return err
	}
	root, err := f.ReplicatedLog.RootKey()
	if err != nil {
		return err
	}
	var voters []replog.Voter
	for _, v := range f.ReplicatedLog.Voters {
		voters = append(voters, replog.Voter(v))
	}
	peers := func() (all []replog.Peer) {
		for _, m := range o.Gossip.Members() {
			if m.Name != f.Name && m.ReplogAddress != "" && m.Status == quota.Alive {
				all = append(all, replog.Peer{Name: m.Name, Addr: m.ReplogAddress, Index: m.LogIndex})
			}
		}
		return all
	}
	r, err := replog.Open(replog.Options{Name: f.Name, Zone: f.Zone, Dir: f.ReplicatedLog.Dir, Bind: f.ReplicatedLog.Bind, Advertise: f.ReplicatedLog.Advertise,
		Voters: voters, Key: key, Genesis: logentry.Genesis{RootKey: root, Zones: f.Zones.Config(), DisabledChecks: accountGuards()}, Lease: f.ReplicatedLog.Lease.Duration,
		Peers: peers, RaftLogOutput: toLog{}, Mutations: replog.Mutations{ApplyUncommitted: mutation.Enabled("commit"), SkipHashCheck: mutation.Enabled("chain"),
			SkipDiskSync: mutation.Enabled("sync"), AlwaysFresh: mutation.Enabled("stale")}})
	if err != nil {
		return err
	}
	o.Log = r
	parts.Go(func() {
		if err := r.Run(ctx); err != nil {
			slog.Error("fleet: the record has ended, this member acts on its last state and on what its node sees", "err", err)
		}
	})
	return nil
}

// accountGuards are those that a scene takes out; in other builds all are in.
func accountGuards() account.DisabledChecks {
	return account.DisabledChecks{ParentLimit: mutation.Enabled("parent"), GrantSubtree: mutation.Enabled("subtree"), RevokeDescendants: mutation.Enabled("revoke"),
		AtomicChange: mutation.Enabled("half"), LendingRecall: mutation.Enabled("callback")}
}
