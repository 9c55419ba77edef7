package replog

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"github.com/hashicorp/raft"
)

const (
	// trailingLogs is the number of entries after which raft takes a snapshot, and the number
	// that it keeps before a snapshot for voters that were briefly disconnected.
	trailingLogs = 1024

	// maxDiskRetryInterval bounds the backoff of a voter whose disk fails repeatedly.
	maxDiskRetryInterval = 30 * time.Second

	// raftPoolSize is the number of idle connections that raft keeps to each voter.
	raftPoolSize = 3
)

// runVoter runs raft while the disk is writable. When the disk fails, this member continues in
// memory as a follower and probes the disk until it is writable again.
func (r *Replica) runVoter(ctx context.Context) {
	retryDelay := diskRetryInterval
	for ctx.Err() == nil {
		startedAt := time.Now()
		err := r.runRaft(ctx)
		if ctx.Err() != nil {
			return
		}
		slog.Warn("voter stopped, continuing in memory without a vote", component, "error", err)
		r.publisher.updateView(func(v *View) { v.Role, v.DiskError = RoleMemory, errorText(err) })
		r.reselectUpstream()
		if time.Since(startedAt) > maxDiskRetryInterval {
			retryDelay = diskRetryInterval
		}
		if !r.awaitDisk(ctx, retryDelay) {
			return
		}
		retryDelay = min(2*retryDelay, maxDiskRetryInterval)
	}
}

// awaitDisk probes the disk at an interval until it is writable. It returns false if ctx ends
// first.
func (r *Replica) awaitDisk(ctx context.Context, interval time.Duration) bool {
	for {
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return false
		}
		if r.probeDisk() == nil {
			return true
		}
	}
}

// probeDisk checks that the disk accepts the kind of write that a vote may need: newly
// allocated blocks, at an offset equal to the size of the store's file.
func (r *Replica) probeDisk() error {
	if err := r.options.InjectFault("probe"); err != nil {
		return err
	}
	const size = 64 << 10
	end := int64(0)
	if info, err := os.Stat(filepath.Join(r.options.Dir, votesFileName)); err == nil {
		end = info.Size()
	}
	path := filepath.Join(r.options.Dir, "probe")
	probeFile, err := os.Create(path)
	if err != nil {
		return err
	}
	_, err = probeFile.WriteAt(make([]byte, size), end)
	return errors.Join(err, probeFile.Sync(), probeFile.Close(), os.Remove(path))
}

// runRaft runs raft until ctx ends or the disk fails, and returns the cause.
func (r *Replica) runRaft(ctx context.Context) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	layer := newRaftLayer(ctx, r.transport, r.self.Addr)
	defer func() { _ = layer.Close() }()
	votes, quarantineReason, err := openVoterStore(&r.options, func() { _ = layer.Close() })
	if err != nil {
		return err
	}
	defer func() { _ = votes.close() }()
	if quarantineReason != "" {
		slog.Warn("voter store quarantined", component, "reason", quarantineReason)
	}
	storeID := votes.store.ID.String()
	r.voterInfo.Store(&voterInfo{StoreID: storeID, Bootstrapped: !votes.isBlank(), BootstrapStores: votes.bootstrapStores})
	defer r.voterInfo.Store(nil)
	r.publisher.updateView(func(v *View) { v.Role, v.DiskError = RoleWaiting, "" })
	if err := r.join(ctx, votes); err != nil {
		return err
	}
	r.voterInfo.Store(&voterInfo{StoreID: storeID, Bootstrapped: true, BootstrapStores: votes.bootstrapStores})

	leadership := make(chan bool, 8)
	config := r.raftConfig(leadership)
	raftTransport := raft.NewNetworkTransport(layer, raftPoolSize, r.options.peerTimeout(), config.LogOutput)
	defer func() { _ = raftTransport.Close() }()
	raftNode, err := raft.NewRaft(config, &stateMachine{r, r.initialState}, votes, votes, votes, raftTransport)
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
	observer := raft.NewObserver(leaderChanges, false, isLeaderObservation)
	raftNode.RegisterObserver(observer)
	defer raftNode.DeregisterObserver(observer)
	r.raft.Store(raftNode)
	r.raftLayer.Store(layer)
	return r.superviseRaft(ctx, raftNode, votes, raftEvents{leadership, leaderChanges})
}

// raftConfig returns raft's configuration. Raft sends on leadership whether it leads.
func (r *Replica) raftConfig(leadership chan<- bool) *raft.Config {
	electionTimeout := r.options.electionTimeout()
	config := raft.DefaultConfig()
	config.LocalID = raft.ServerID(r.self.Name)
	config.HeartbeatTimeout = electionTimeout
	config.ElectionTimeout = electionTimeout
	config.LeaderLeaseTimeout = electionTimeout / 2
	config.CommitTimeout = electionTimeout / 4
	config.SnapshotThreshold = trailingLogs
	config.TrailingLogs = trailingLogs
	config.SnapshotInterval = 15 * r.options.Lease
	config.ShutdownOnRemove = false
	config.NotifyCh = leadership
	config.LogOutput = raftLogWriter{r.options.RaftLogOutput}
	config.LogLevel = "INFO"
	return config
}

func isLeaderObservation(observation *raft.Observation) bool {
	_, ok := observation.Data.(raft.LeaderObservation)
	return ok
}
