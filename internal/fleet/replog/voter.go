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
	for retryDelay := diskRetryInterval; ctx.Err() == nil; {
		startedAt := time.Now()
		err := r.runRaft(ctx)
		if ctx.Err() != nil {
			return
		}
		slog.Warn("record: no vote, going on in memory", "err", err)
		r.publisher.updateView(func(v *View) { v.Role, v.DiskError = "memory", errorText(err) })
		r.reselectUpstream()
		if time.Since(startedAt) > maxDiskRetryInterval {
			retryDelay = diskRetryInterval
		}
		for tried := false; !tried || r.probeDisk() != nil; tried = true {
			select {
			case <-time.After(retryDelay):
			case <-ctx.Done():
				return
			}
		}
		retryDelay = min(2*retryDelay, maxDiskRetryInterval)
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
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	_, err = file.WriteAt(make([]byte, size), end)
	return errors.Join(err, file.Sync(), file.Close(), os.Remove(path))
}

// vote runs raft until ctx ends or the disk fails, and returns why.
func (r *Replica) runRaft(ctx context.Context) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	layer := newRaftLayer(ctx, r.transport, r.self.Addr)
	defer func() { _ = layer.Close() }()
	store, quarantineReason, err := openVoterStore(&r.options, func() { _ = layer.Close() })
	if err != nil {
		return err
	}
	defer func() { _ = store.close() }()
	if quarantineReason != "" {
		slog.Warn("record: votes set aside", "why", quarantineReason)
	}
	r.voterInfo.Store(&voterInfo{StoreID: store.store.ID.String(), Bootstrapped: !store.isBlank(), BootstrapStores: store.bootstrapStores})
	defer r.voterInfo.Store(nil)
	r.publisher.updateView(func(v *View) { v.Role, v.DiskError = "waiting", "" })
	if err := r.join(ctx, store); err != nil {
		return err
	}
	r.voterInfo.Store(&voterInfo{StoreID: store.store.ID.String(), Bootstrapped: true, BootstrapStores: store.bootstrapStores})

	config := raft.DefaultConfig()
	config.LocalID = raft.ServerID(r.self.Name)
	config.HeartbeatTimeout, config.ElectionTimeout = r.options.electionTimeout(), r.options.electionTimeout()
	config.LeaderLeaseTimeout, config.CommitTimeout = r.options.electionTimeout()/2, r.options.electionTimeout()/4
	config.SnapshotThreshold, config.TrailingLogs, config.SnapshotInterval = trailingLogs, trailingLogs, 15*r.options.Lease
	config.ShutdownOnRemove = false
	leadership := make(chan bool, 8)
	config.NotifyCh = leadership
	config.LogOutput, config.LogLevel = debugWriter{r.options.RaftLogOutput}, "INFO"
	raftTransport := raft.NewNetworkTransport(layer, 3, r.options.peerTimeout(), debugWriter{r.options.RaftLogOutput})
	defer func() { _ = raftTransport.Close() }()
	raftNode, err := raft.NewRaft(config, &stateMachine{r, r.initialState}, store, store, store, raftTransport)
	if err != nil {
		return fmt.Errorf("raft: %w", err)
	}
	defer func() {
		r.raft.Store(nil)
		r.raftLayer.Store(nil)
		r.readyTerm.Store(0)
		_ = layer.Close()
		_ = raftNode.Shutdown().Error()
		r.reselectUpstream()
	}()
	leaderChanges := make(chan raft.Observation, 8)
	observer := raft.NewObserver(leaderChanges, false, func(o *raft.Observation) bool { _, ok := o.Data.(raft.LeaderObservation); return ok })
	raftNode.RegisterObserver(observer)
	defer raftNode.DeregisterObserver(observer)
	r.raft.Store(raftNode)
	r.raftLayer.Store(layer)
	return r.superviseRaft(ctx, store, raftNode, leadership, leaderChanges)
}

// stand follows raft's changes until the disk fails.
func (r *Replica) superviseRaft(ctx context.Context, store *voterStore, raftNode *raft.Raft, leadership <-chan bool, leaderChanges <-chan raft.Observation) error {
	confirmationEnded := make(chan struct{})
	defer func() { <-confirmationEnded }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { // pulses as long as raft runs; ends with ctx or when raft no longer answers
		defer close(confirmationEnded)
		r.confirmLeadership(ctx, raftNode)
	}()
	ticker := time.NewTicker(r.options.electionTimeout())
	defer ticker.Stop()
	for {
		r.publishRole(raftNode)
		select {
		case <-leadership:
			r.publishRole(raftNode)
			r.reselectUpstream()
		case <-leaderChanges:
			r.publishRole(raftNode)
			r.reselectUpstream()
		case <-ticker.C:
			r.requestPromotion(ctx, raftNode)
		case <-store.failed:
			store.writeMu.Lock()
			defer store.writeMu.Unlock()
			return store.writeErr
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// show brings role and leader into the view.
func (r *Replica) publishRole(raftNode *raft.Raft) {
	_, leader := raftNode.LeaderWithID()
	role := "voter"
	switch {
	case r.IsLeader():
		role = "leader"
	case !hasVote(raftNode, r.self.Name):
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
func (r *Replica) confirmLeadership(ctx context.Context, raftNode *raft.Raft) {
	ticker := time.NewTicker(r.options.heartbeatInterval())
	defer ticker.Stop()
	for {
		if raftNode.State() == raft.Leader {
			if term := raftNode.CurrentTerm(); r.readyTerm.Load() != term && raftNode.Barrier(r.options.Lease).Error() == nil {
				r.readyTerm.Store(term)
				r.publishRole(raftNode)
				r.reselectUpstream()
			}
			confirmedAt := time.Now()
			if r.IsLeader() && raftNode.VerifyLeader().Error() == nil {
				r.publisher.confirmLeader(confirmedAt, r.self.Name, nil)
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// debugLines passes raft's lines on, each without its time and with its level's place taken.
type debugWriter struct{ to io.Writer }

func (d debugWriter) Write(b []byte) (int, error) {
	for _, line := range strings.Split(strings.TrimSpace(string(b)), "\n") {
		if levelAt := strings.IndexByte(line, '['); levelAt >= 0 {
			line = line[levelAt:]
		}
		if _, err := io.WriteString(d.to, "[DEBUG] record: "+line+"\n"); err != nil {
			return 0, err
		}
	}
	return len(b), nil
}
