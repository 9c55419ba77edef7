package main

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/agent"
	"coralrelay/internal/fleet/entry"
	"coralrelay/internal/fleet/member"
	"coralrelay/internal/fleet/record"
	"coralrelay/internal/fleet/share"
	"coralrelay/internal/fleet/zone"
	"coralrelay/internal/operator"
	"coralrelay/internal/sabotage"
)

// newMember is this agent's part in gossip.
func newMember(f operator.Fleet, clock func() time.Duration) *member.Agent {
	cfg := share.Config{Epoch: f.Epoch.Duration, Hold: f.Hold.Duration, Fresh: f.Fresh.Duration, Retries: f.Retries, Shun: f.Shun}
	guards := share.Guards{Ranks: sabotage.On("ranks"), Expire: sabotage.On("expire"), Quorum: sabotage.On("quorum"), Budget: sabotage.On("budget")}
	m := member.NewAgent(f.Name, cfg, guards, clock)
	m.Zone = f.Zone
	if f.Record.On() {
		m.Record = f.Record.Reached()
	}
	return m
}

func zoneGuards() zone.Guards {
	return zone.Guards{Panic: sabotage.On("panic"), Return: sabotage.On("return"), Accuse: sabotage.On("accuse"),
		Hold: sabotage.On("hold"), Viewpoint: sabotage.On("viewpoint"), Quorum: sabotage.On("quorum")}
}

// keepRecord opens the record and runs it until ctx ends.
func keepRecord(ctx context.Context, parts *sync.WaitGroup, f operator.Fleet, o *agent.Options) error {
	key, err := member.ReadKey(f.Key)
	if err != nil {
		return err
	}
	root, err := f.Record.RootKey()
	if err != nil {
		return err
	}
	var voters []record.Voter
	for _, v := range f.Record.Voters {
		voters = append(voters, record.Voter(v))
	}
	peers := func() (all []record.Peer) {
		for _, m := range o.Member.Members() {
			if m.Name != f.Name && m.Record != "" && m.Status == share.Alive {
				all = append(all, record.Peer{Name: m.Name, Addr: m.Record, Index: m.Index})
			}
		}
		return all
	}
	r, err := record.Open(record.Options{Name: f.Name, Zone: f.Zone, Dir: f.Record.Dir, Bind: f.Record.Bind, Advertise: f.Record.Advertise,
		Voters: voters, Key: key, Genesis: entry.Genesis{Root: root, Zone: f.Zones.Config(), Ignore: accountGuards()}, Lease: f.Record.Lease.Duration,
		Peers: peers, Log: toLog{}, Ignore: record.Guards{Commit: sabotage.On("commit"), Chain: sabotage.On("chain"),
			Sync: sabotage.On("sync"), Stale: sabotage.On("stale")}})
	if err != nil {
		return err
	}
	o.Record = r
	parts.Go(func() {
		if err := r.Run(ctx); err != nil {
			slog.Error("fleet: the record has ended, this member acts on its last state and on what its node sees", "err", err)
		}
	})
	return nil
}

// accountGuards are those that a scene takes out; in other builds all are in.
func accountGuards() account.Guards {
	return account.Guards{Parent: sabotage.On("parent"), Subtree: sabotage.On("subtree"), Revoke: sabotage.On("revoke"),
		Half: sabotage.On("half"), CallBack: sabotage.On("callback")}
}
