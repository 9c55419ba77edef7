package replog

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/hashicorp/raft"
)

// Raft takes a snapshot after so many entries, and keeps as many behind it for voters that
// were away for a moment.
const trailingLogs = 1024

// longestPause bounds how long a voter waits whose disk comes back and fails again.
const maxDiskRetryInterval = 30 * time.Second

// voter keeps this member's vote for as long as its disk can be written. When it can't, the
// member goes on in memory, as a follower, and tries the disk each second.
func (r *Replica) runVoter(ctx context.Context) {
	for pause := diskRetryInterval; ctx.Err() == nil; {
		began := time.Now()
		err := r.runRaft(ctx)
		if ctx.Err() != nil {
			return
		}
		slog.Warn("record: no vote, going on in memory", "err", err)
		r.publisher.updateView(func(v *View) { v.Role, v.DiskError = "memory", errorText(err) })
		r.reselectUpstream()
		if time.Since(began) > maxDiskRetryInterval {
			pause = diskRetryInterval
		}
		for tried := false; !tried || r.probeDisk() != nil; tried = true {
			select {
			case <-time.After(pause):
			case <-ctx.Done():
				return
			}
		}
		pause = min(2*pause, maxDiskRetryInterval)
	}
}

// probe tells whether the disk takes what a vote would need: fresh blocks, at a place behind
// all that the store has.
func (r *Replica) probeDisk() error {
	if err := r.options.InjectFault("probe"); err != nil {
		return err
	}
	const size = 64 << 10
	end := int64(0)
	if info, err := os.Stat(filepath.Join(r.options.Dir, "votes.db")); err == nil {
		end = info.Size()
	}
	path := filepath.Join(r.options.Dir, "probe")
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	_, err = f.WriteAt(make([]byte, size), end)
	return errors.Join(err, f.Sync(), f.Close(), os.Remove(path))
}

// vote runs raft until ctx ends or the disk fails, and returns why.
func (r *Replica) runRaft(ctx context.Context) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := newRaftLayer(ctx, r.transport, r.self.Addr)
	defer func() { _ = l.Close() }()
	d, why, err := openVoterStore(&r.options, func() { _ = l.Close() })
	if err != nil {
		return err
	}
	defer func() { _ = d.close() }()
	if why != "" {
		slog.Warn("record: votes set aside", "why", why)
	}
	r.voterInfo.Store(&voterInfo{StoreID: d.store.ID.String(), Bootstrapped: !d.isBlank(), BootstrapStores: d.bootstrapStores})
	defer r.voterInfo.Store(nil)
	r.publisher.updateView(func(v *View) { v.Role, v.DiskError = "waiting", "" })
	if err := r.join(ctx, d); err != nil {
		return err
	}
	r.voterInfo.Store(&voterInfo{StoreID: d.store.ID.String(), Bootstrapped: true, BootstrapStores: d.bootstrapStores})

	c := raft.DefaultConfig()
	c.LocalID = raft.ServerID(r.self.Name)
	c.HeartbeatTimeout, c.ElectionTimeout = r.options.electionTimeout(), r.options.electionTimeout()
	c.LeaderLeaseTimeout, c.CommitTimeout = r.options.electionTimeout()/2, r.options.electionTimeout()/4
	c.SnapshotThreshold, c.TrailingLogs, c.SnapshotInterval = trailingLogs, trailingLogs, 15*r.options.Lease
	c.ShutdownOnRemove = false
	leads := make(chan bool, 8)
	c.NotifyCh = leads
	c.LogOutput, c.LogLevel = debugWriter{r.options.RaftLog}, "INFO"
	trans := raft.NewNetworkTransport(l, 3, r.options.peerTimeout(), debugWriter{r.options.RaftLog})
	defer func() { _ = trans.Close() }()
	ra, err := raft.NewRaft(c, &stateMachine{r, r.initialState}, d, d, d, trans)
	if err != nil {
		return fmt.Errorf("raft: %w", err)
	}
	defer func() {
		r.raft.Store(nil)
		r.raftLayer.Store(nil)
		r.readyTerm.Store(0)
		_ = l.Close()
		_ = ra.Shutdown().Error()
		r.reselectUpstream()
	}()
	seen := make(chan raft.Observation, 8)
	watcher := raft.NewObserver(seen, false, func(o *raft.Observation) bool { _, ok := o.Data.(raft.LeaderObservation); return ok })
	ra.RegisterObserver(watcher)
	defer ra.DeregisterObserver(watcher)
	r.raft.Store(ra)
	r.raftLayer.Store(l)
	return r.superviseRaft(ctx, d, ra, leads, seen)
}

// stand follows raft's changes until the disk fails.
func (r *Replica) superviseRaft(ctx context.Context, d *voterStore, ra *raft.Raft, leads <-chan bool, seen <-chan raft.Observation) error {
	ended := make(chan struct{})
	defer func() { <-ended }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { // pulses as long as raft runs; ends with ctx or when raft no longer answers
		defer close(ended)
		r.confirmLeadership(ctx, ra)
	}()
	t := time.NewTicker(r.options.electionTimeout())
	defer t.Stop()
	for {
		r.publishRole(ra)
		select {
		case <-leads:
			r.publishRole(ra)
			r.reselectUpstream()
		case <-seen:
			r.publishRole(ra)
			r.reselectUpstream()
		case <-t.C:
			r.requestPromotion(ctx, ra)
		case <-d.failed:
			d.writeMu.Lock()
			defer d.writeMu.Unlock()
			return d.writeErr
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// show brings role and leader into the view.
func (r *Replica) publishRole(ra *raft.Raft) {
	_, leader := ra.LeaderWithID()
	role := "voter"
	switch {
	case r.IsLeader():
		role = "leader"
	case !hasVote(ra, r.self.Name):
		role = "waiting"
	}
	v := r.publisher.view.Load()
	if v.Role == role && (leader == "" || v.Leader == string(leader)) {
		return
	}
	r.publisher.updateView(func(v *View) {
		v.Role = role
		if leader != "" {
			v.Leader = string(leader)
		}
	})
}

// pulses gives the fleet the leader's word while this member leads. A word counts from the
// moment before a majority confirmed it.
func (r *Replica) confirmLeadership(ctx context.Context, ra *raft.Raft) {
	t := time.NewTicker(r.options.heartbeatInterval())
	defer t.Stop()
	for {
		if ra.State() == raft.Leader {
			if term := ra.CurrentTerm(); r.readyTerm.Load() != term && ra.Barrier(r.options.Lease).Error() == nil {
				r.readyTerm.Store(term)
				r.publishRole(ra)
				r.reselectUpstream()
			}
			at := time.Now()
			if r.IsLeader() && ra.VerifyLeader().Error() == nil {
				r.publisher.confirmLeader(at, r.self.Name, nil)
			}
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// debugLines passes raft's lines on, each without its time and with its level's place taken.
type debugWriter struct{ to io.Writer }

func (d debugWriter) Write(b []byte) (int, error) {
	for _, text := range strings.Split(strings.TrimSpace(string(b)), "\n") {
		if at := strings.IndexByte(text, '['); at >= 0 {
			text = text[at:]
		}
		if _, err := io.WriteString(d.to, "[DEBUG] record: "+text+"\n"); err != nil {
			return 0, err
		}
	}
	return len(b), nil
}
