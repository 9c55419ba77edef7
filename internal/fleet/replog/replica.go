package replog

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"

	"coralrelay/internal/fleet/logentry"
)

// component is the attribute that marks the package's log lines.
var component = slog.String("component", "replog")

// Replica is one member's copy of the log and its part in replicating it. All methods may
// be called from any goroutine.
type Replica struct {
	options      Options
	self         Peer
	isVoter      bool // named in Options.Voters, whether or not it has its vote now
	transport    *transport
	publisher    *publisher
	initialState *logentry.State // before the first entry

	raft      atomic.Pointer[raft.Raft] // nil while raft does not run here
	raftLayer atomic.Pointer[raftLayer] // set as long as raft is
	readyTerm atomic.Uint64             // the term in which it led with all earlier commits applied
	voterInfo atomic.Pointer[voterInfo] // its answer to actionDescribe; nil without an open voterStore

	mu            sync.Mutex
	followers     map[string]*sealedConn // by name
	leaveUpstream func()                 // ends following the current upstream
	proposalSlots chan struct{}          // holds one for each proposal under way at this leader
	stateFile     *stateFile
}

// Open validates the options, opens the listener and reads the last state known. An option
// that can't be used is an *OptionError. A disk that can't be used is not an error: see
// View.DiskError.
func Open(options Options) (*Replica, error) {
	options.setDefaults()
	if err := options.validate(); err != nil {
		return nil, err
	}
	initialState, err := logentry.NewState(options.Genesis)
	if err != nil {
		return nil, &OptionError{Key: "fleet.record", Err: err}
	}
	r := &Replica{
		options:       options,
		initialState:  initialState,
		followers:     map[string]*sealedConn{},
		leaveUpstream: func() {},
		proposalSlots: make(chan struct{}, maxProposals),
	}
	if r.transport, err = newTransport(&options); err != nil {
		return nil, err
	}
	r.self = Peer{Name: options.Name, Addr: options.Advertise}
	if r.self.Addr == "" {
		r.self.Addr = r.transport.Addr().String()
	}
	if voter, ok := options.findVoter(options.Name); ok {
		r.isVoter, r.self.Addr = true, voter.Addr
	}
	r.publisher = newPublisher(initialState)
	r.stateFile = &stateFile{replica: r}
	r.stateFile.load()
	if r.isVoter {
		r.publisher.updateView(func(v *View) { v.Role = RoleWaiting })
	}
	return r, nil
}

// Run replicates until ctx ends, then writes the last state and closes everything.
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
	return r.transport.serve(ctx, func(purpose connPurpose, conn *sealedConn) { r.handleConn(ctx, purpose, conn) })
}

// handleConn serves a connection that another member opened, until its end.
func (r *Replica) handleConn(ctx context.Context, purpose connPurpose, conn *sealedConn) {
	switch purpose {
	case purposeRaft:
		if layer := r.raftLayer.Load(); layer != nil {
			layer.deliver(conn)
		}
	case purposeFollow:
		r.serveFollower(ctx, conn)
	case purposePropose:
		_ = conn.SetDeadline(time.Now().Add(requestTimeout))
		r.serveProposal(ctx, conn)
	case purposeVoterRequest:
		_ = conn.SetDeadline(time.Now().Add(requestTimeout))
		r.serveVoterRequest(conn)
	}
}

// View returns what this member knows now.
func (r *Replica) View() View {
	v := *r.publisher.view.Load()
	isConfirmed := !v.ConfirmedAt.IsZero() && time.Since(v.ConfirmedAt) < r.options.Lease
	v.WithinLease = r.options.Mutations.AlwaysFresh || isConfirmed
	return v
}

// Changed returns a channel that is closed at the next change of View other than a later
// ConfirmedAt. A lease that runs out or is renewed after that is such a change.
func (r *Replica) Changed() <-chan struct{} {
	changed, _ := r.publisher.changes()
	return changed
}

// IsLeader reports whether this member leads and has applied all that was committed before
// its term, so that it decides what is proposed next.
func (r *Replica) IsLeader() bool {
	raftNode := r.raft.Load()
	return raftNode != nil && raftNode.State() == raft.Leader && r.readyTerm.Load() == raftNode.CurrentTerm()
}

// Addr returns the HOST:PORT at which other members reach this one.
func (r *Replica) Addr() string { return r.self.Addr }

// watchFreshness publishes the view when the lease runs out, and when it is renewed.
func (r *Replica) watchFreshness(ctx context.Context) {
	ticker := time.NewTicker(r.options.heartbeatInterval())
	defer ticker.Stop()
	wasFresh := false
	for {
		if v := r.View(); v.WithinLease != wasFresh {
			wasFresh = v.WithinLease
			if wasFresh {
				slog.Info("leader contact restored", component, "index", v.State.Index, "leader", v.Leader)
			} else {
				slog.Info("leader contact lost, keeping the last committed state", component,
					"index", v.State.Index, "lease", r.options.Lease)
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

// reselectUpstream makes follow choose its upstream anew.
func (r *Replica) reselectUpstream() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaveUpstream()
}
