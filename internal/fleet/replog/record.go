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
func Open(o Options) (*Replica, error) {
	if err := o.normalize(); err != nil {
		return nil, err
	}
	first, err := logentry.NewState(o.Genesis)
	if err != nil {
		return nil, fmt.Errorf("fleet.record: %w", err)
	}
	r := &Replica{options: o, initialState: first, followers: map[string]*sealedConn{}, leaveUpstream: func() {}, proposalSlots: make(chan struct{}, maxProposals)}
	if r.transport, err = newTransport(&o); err != nil {
		return nil, err
	}
	r.self = Peer{Name: o.Name, Addr: o.Advertise}
	if r.self.Addr == "" {
		r.self.Addr = r.transport.Addr().String()
	}
	if v, ok := o.findVoter(o.Name); ok {
		r.isVoter, r.self.Addr = true, v.Addr
	}
	r.publisher = newPublisher(first)
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
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { r.follow(ctx) })
	wg.Go(func() { r.stateFile.run(ctx) })
	wg.Go(func() { r.watchFreshness(ctx) })
	if r.isVoter {
		wg.Go(func() { r.runVoter(ctx) })
	}
	defer cancel()
	return r.transport.serve(ctx, func(kind byte, c *sealedConn) { r.handleConn(ctx, kind, c) })
}

// take serves a member's connection to its end.
func (r *Replica) handleConn(ctx context.Context, kind byte, c *sealedConn) {
	switch kind {
	case purposeRaft:
		if l := r.raftLayer.Load(); l != nil {
			l.deliver(c)
		}
	case purposeFollow:
		r.serveFollower(ctx, c)
	case purposePropose, purposeVoterRequest:
		_ = c.SetDeadline(time.Now().Add(requestTimeout))
		if kind == purposeVoterRequest {
			r.serveVoterRequest(c)
		} else {
			r.serveProposal(ctx, c)
		}
	}
}

// View returns what this member knows now.
func (r *Replica) View() View {
	v := *r.publisher.view.Load()
	v.Fresh = r.options.Mutations.AlwaysFresh || !v.ConfirmedAt.IsZero() && time.Since(v.ConfirmedAt) < r.options.Lease
	return v
}

// Changed returns a channel that is closed when View next changes in more than the age of
// its word, and when that is no longer fresh, or again.
func (r *Replica) Changed() <-chan struct{} {
	woken, _ := r.publisher.changes()
	return woken
}

// Leads tells whether this member decides what is proposed next.
func (r *Replica) IsLeader() bool {
	ra := r.raft.Load()
	return ra != nil && ra.State() == raft.Leader && r.readyTerm.Load() == ra.CurrentTerm()
}

// Addr is where others reach this member.
func (r *Replica) Addr() string { return r.self.Addr }

// watch tells when the word grows old, and when it is fresh again.
func (r *Replica) watchFreshness(ctx context.Context) {
	t := time.NewTicker(r.options.heartbeatInterval())
	defer t.Stop()
	was := false
	for {
		if v := r.View(); v.Fresh != was {
			if was = v.Fresh; was {
				slog.Info("record: heard again", "index", v.State.Index, "leader", v.Leader)
			} else {
				slog.Info("record: nothing heard for the lease, holding to what was committed last", "index", v.State.Index, "lease", r.options.Lease)
			}
			r.publisher.updateView(func(*View) {})
		}
		select {
		case <-t.C:
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
