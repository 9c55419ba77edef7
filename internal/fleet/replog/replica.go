package replog

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"

	"coralrelay/internal/fleet/logentry"
)

// Record is one member's part in the record. All of it may be called from any goroutine.
type Replica struct {
	options      Options
	self         Peer
	isVoter      bool // this member is among the voters
	transport    *transport
	publisher    *publisher
	initialState *logentry.State // before the first entry

	raft      atomic.Pointer[raft.Raft] // nil while this member has no vote
	raftLayer atomic.Pointer[raftLayer] // raft's, as long
	readyTerm atomic.Uint64             // the term in which it led and had applied all that was committed before
	voterInfo atomic.Pointer[voterInfo] // what it says to who asks; a voter with an open disk

	mu            sync.Mutex
	followers     map[string]*sealedConn // whom it feeds
	leaveUpstream func()                 // makes it choose its upstream again
	proposalSlots chan struct{}          // one for each proposal under way here as leader
	stateFile     *stateFile
}

// Open checks the options, takes the listener and reads what this member knew last. A fault
// of the options names its key. A disk that can't be used is no fault: see View.Disk.
func Open(options Options) (*Replica, error) {
	if err := options.normalize(); err != nil {
		return nil, err
	}
	initialState, err := logentry.NewState(options.Genesis)
	if err != nil {
		return nil, fmt.Errorf("fleet.record: %w", err)
	}
	r := &Replica{options: options, initialState: initialState, followers: map[string]*sealedConn{}, leaveUpstream: func() {}, proposalSlots: make(chan struct{}, maxProposals)}
	if r.transport, err = newTransport(&options); err != nil {
		return nil, err
	}
	r.self = Peer{Name: options.Name, Addr: options.Advertise}
	if r.self.Addr == "" {
		r.self.Addr = r.transport.Addr().String()
	}
	if v, ok := options.findVoter(options.Name); ok {
		r.isVoter, r.self.Addr = true, v.Addr
	}
	r.publisher = newPublisher(initialState)
	r.stateFile = &stateFile{replica: r}
	r.stateFile.load()
	if r.isVoter {
		r.publisher.updateView(func(v *View) { v.Role = "waiting" })
	}
	return r, nil
}

// Run takes part until ctx ends, and then writes what it knows and lets all go.
func (r *Replica) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { r.follow(ctx) })
	running.Go(func() { r.stateFile.run(ctx) })
	running.Go(func() { r.watchFreshness(ctx) })
	if r.isVoter {
		running.Go(func() { r.runVoter(ctx) })
	}
	defer cancel()
	return r.transport.serve(ctx, func(kind byte, c *sealedConn) { r.handleConn(ctx, kind, c) })
}

// take serves a member's connection to its end.
func (r *Replica) handleConn(ctx context.Context, purpose byte, c *sealedConn) {
	switch purpose {
	case purposeRaft:
		if layer := r.raftLayer.Load(); layer != nil {
			layer.deliver(c)
		}
	case purposeFollow:
		r.serveFollower(ctx, c)
	case purposePropose, purposeVoterRequest:
		_ = c.SetDeadline(time.Now().Add(requestTimeout))
		if purpose == purposeVoterRequest {
			r.serveVoterRequest(c)
		} else {
			r.serveProposal(ctx, c)
		}
	}
}

// View returns what this member knows now.
func (r *Replica) View() View {
	v := *r.publisher.view.Load()
	v.WithinLease = r.options.Mutations.AlwaysFresh || !v.ConfirmedAt.IsZero() && time.Since(v.ConfirmedAt) < r.options.Lease
	return v
}

// Changed returns a channel that is closed when View next changes in more than the age of
// its word, and when that is no longer fresh, or again.
func (r *Replica) Changed() <-chan struct{} {
	changed, _ := r.publisher.changes()
	return changed
}

// Leads tells whether this member decides what is proposed next.
func (r *Replica) IsLeader() bool {
	raftNode := r.raft.Load()
	return raftNode != nil && raftNode.State() == raft.Leader && r.readyTerm.Load() == raftNode.CurrentTerm()
}

// Addr is where others reach this member.
func (r *Replica) Addr() string { return r.self.Addr }

// watch tells when the word grows old, and when it is fresh again.
func (r *Replica) watchFreshness(ctx context.Context) {
	ticker := time.NewTicker(r.options.heartbeatInterval())
	defer ticker.Stop()
	wasFresh := false
	for {
		if v := r.View(); v.WithinLease != wasFresh {
			if wasFresh = v.WithinLease; wasFresh {
				slog.Info("record: heard again", "index", v.State.Index, "leader", v.Leader)
			} else {
				slog.Info("record: nothing heard for the lease, holding to what was committed last", "index", v.State.Index, "lease", r.options.Lease)
			}
			r.publisher.updateView(func(*View) {})
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// rehook makes the member choose anew whom it follows.
func (r *Replica) reselectUpstream() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaveUpstream()
}
