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
func newMember(fleet operatorconfig.Fleet, clock func() time.Duration) *gossip.Member {
	config := quota.Config{Epoch: fleet.Epoch.Duration, LeaseTimeout: fleet.Hold.Duration, ReportTTL: fleet.Fresh.Duration, RetryRatio: fleet.Retries, MaxOutlierFraction: fleet.Shun}
	guards := quota.Guards{RankedAllocation: mutation.Enabled("ranks"), LeaseExpiry: mutation.Enabled("expire"), Quorum: mutation.Enabled("quorum"), RetryBudget: mutation.Enabled("budget")}
	member := gossip.NewMember(fleet.Name, config, guards, clock)
	member.Zone = fleet.Zone
	if fleet.ReplicatedLog.IsEnabled() {
		member.ReplogAddress = fleet.ReplicatedLog.AdvertisedAddr()
	}
	return member
}

func zoneGuards() zonestatus.Guards {
	return zonestatus.Guards{PanicThreshold: mutation.Enabled("panic"), RecoveryRamp: mutation.Enabled("return"), ReporterConnectivity: mutation.Enabled("accuse"),
		HoldDown: mutation.Enabled("hold"), ObservingZone: mutation.Enabled("viewpoint"), Quorum: mutation.Enabled("quorum")}
}

// keepRecord opens the record and runs it until ctx ends.
func startReplica(ctx context.Context, goroutines *sync.WaitGroup, fleet operatorconfig.Fleet, options *agent.Options) error {
	key, err := gossip.ReadKey(fleet.Key)
	if err != nil {
		return err
	}
	rootKey, err := fleet.ReplicatedLog.RootKey()
	if err != nil {
		return err
	}
	var voters []replog.Voter
	for _, v := range fleet.ReplicatedLog.Voters {
		voters = append(voters, replog.Voter(v))
	}
	peers := func() (all []replog.Peer) {
		for _, m := range options.Gossip.Members() {
			if m.Name != fleet.Name && m.ReplogAddress != "" && m.Status == quota.Alive {
				all = append(all, replog.Peer{Name: m.Name, Addr: m.ReplogAddress, Index: m.LogIndex})
			}
		}
		return all
	}
	replica, err := replog.Open(replog.Options{Name: fleet.Name, Zone: fleet.Zone, Dir: fleet.ReplicatedLog.Dir, Bind: fleet.ReplicatedLog.Bind, Advertise: fleet.ReplicatedLog.Advertise,
		Voters: voters, Key: key, Genesis: logentry.Genesis{RootKey: rootKey, Zones: fleet.Zones.Config(), DisabledChecks: accountGuards()}, Lease: fleet.ReplicatedLog.Lease.Duration,
		Peers: peers, RaftLogOutput: libraryLog{}, Mutations: replog.Mutations{ApplyUncommitted: mutation.Enabled("commit"), SkipHashCheck: mutation.Enabled("chain"),
			SkipDiskSync: mutation.Enabled("sync"), AlwaysFresh: mutation.Enabled("stale")}})
	if err != nil {
		return err
	}
	options.Log = replica
	goroutines.Go(func() {
		if err := replica.Run(ctx); err != nil {
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
