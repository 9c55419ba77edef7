package replog

import (
	"context"
	"errors"
	"testing"

	"coralrelay/internal/fleet/logentry"
)

func TestCommittedEntryReachesEveryMember(t *testing.T) {
	f := newFleet(t, 3)
	a, b := startFollower(f, 1), startFollower(f, 2)
	f.awaitLeader()
	out := f.propose(a)
	f.awaitAll("at the entry", freshAtIndex(out.Index))
	last := f.propose(b)
	if last.Index != out.Index+1 {
		t.Errorf("index %d after %d", last.Index, out.Index)
	}
	f.awaitAll("at the second entry", freshAtIndex(last.Index))
	want := f.awaitLeader().View().State.Hash
	for name, m := range f.members {
		if got := m.View().State.Hash; got != want {
			t.Errorf("%s: hash %x, the leader's is %x", name, got, want)
		}
	}
	rejected, err := a.Propose(context.Background(), zonesEntry(0))
	if err != nil || rejected.Accepted || rejected.Index != 0 || rejected.Reason == "" {
		t.Errorf("entry based on an old version: %+v, %v", rejected, err)
	}
	// A follower that starts with no peer running has its last state and is not within the lease.
	for _, m := range f.members {
		if raftNode := m.raft.Load(); raftNode != nil {
			if err := raftNode.Snapshot().Error(); err != nil {
				t.Errorf("%s: snapshot: %v", m.options.Name, err)
			}
		}
		m.kill()
	}
	a = f.restart(a, nil)
	if v := a.View(); v.State.Index != last.Index || v.State.Hash != want || v.WithinLease {
		t.Errorf("with no peer running: %+v", v)
	}
	// Voters that start from a snapshot, without the log before it, continue from its index.
	for _, v := range f.voters {
		f.restart(f.members[v.Name], nil)
	}
	f.propose(a)
	for _, v := range f.voters {
		f.await(f.members[v.Name], "at the third entry", freshAtIndex(last.Index+1))
		if raftNode := f.members[v.Name].raft.Load(); raftNode.Stats()["last_snapshot_index"] == "0" {
			t.Errorf("%s has no snapshot", v.Name)
		}
	}
}

func TestNewLeaderAfterLeaderCrash(t *testing.T) {
	f := newFleet(t, 3)
	a := startFollower(f, 1)
	oldLeader := f.awaitLeader()
	f.propose(a)
	answered := make(chan error, 1)
	version := oldLeader.View().State.Zones.Version
	var out logentry.Outcome
	go func() {
		var err error
		out, err = a.Propose(context.Background(), zonesEntry(version))
		answered <- err
	}()
	oldLeader.kill()
	err := <-answered
	leader := f.awaitLeader(oldLeader)
	f.await(a, "in a lease again", func(v View) bool { return v.WithinLease && v.Leader == leader.options.Name })
	if got := leader.View().State.Zones.Version; err == nil && (!out.Accepted || got <= version) {
		t.Errorf("answered %+v, and the new leader is at version %d of %d", out, got, version)
	} else if err != nil && !errors.Is(err, ErrOutcomeUnknown) && got != version {
		t.Errorf("%v, but it was accepted", err)
	}
}
