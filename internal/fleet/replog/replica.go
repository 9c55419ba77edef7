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

// component is the log attribute that identifies this package.
var component = slog.String("component", "replog")

// Replica is one member of the replicated log: it holds the member's copy of the state and
// takes part in the replication. Its methods may be called from any goroutine.
type Replica struct {
	options      Options
	self         Peer
	isVoter      bool // named in Options.Voters, whether or not it has a vote now
	transport    *transport
	publisher    *publisher
	initialState *logentry.State // before the first entry

	raft      atomic.Pointer[raft.Raft] // nil while raft does not run on this member
	raftLayer atomic.Pointer[raftLayer] // set while raft is set
	readyTerm atomic.Uint64             // term in which this member leads with all earlier commits applied
	voterInfo atomic.Pointer[voterInfo] // the answer to actionDescribe; nil without an open voterStore

	mu             sync.Mutex
	followers      map[string]*sealedConn // by name
	cancelUpstream func()                 // ends the session with the current upstream
	proposalSlots  chan struct{}          // holds one value per proposal in progress at this leader
	stateFile      *stateFile
}

// Open validates the options, opens the listener and loads the last known state. It returns an
// *OptionError for an invalid option. It returns no error for an unusable disk: see
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
		options:        options,
		initialState:   initialState,
		followers:      map[string]*sealedConn{},
		cancelUpstream: func() {},
		proposalSlots:  make(chan struct{}, maxProposals),
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

// Run takes part in the replication until ctx ends, then writes the last state and closes all
// connections and files.
func (r *Replica) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { r.follow(ctx) })
	running.Go(func() { r.stateFile.run(ctx) })
	running.Go(func() { r.watchLease(ctx) })
	if r.isVoter {
		running.Go(func() { r.runVoter(ctx) })
	}
	defer cancel()
	return r.transport.serve(ctx, func(purpose connPurpose, conn *sealedConn) { r.handleConn(ctx, purpose, conn) })
}

// handleConn serves a connection opened by another member until the connection ends.
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

// View returns this member's current view.
func (r *Replica) View() View {
	v := *r.publisher.view.Load()
	isConfirmed := !v.ConfirmedAt.IsZero() && time.Since(v.ConfirmedAt) < r.options.Lease
	v.WithinLease = r.options.Mutations.AlwaysFresh || isConfirmed
	return v
}

// Changed returns a channel that is closed at the next change of the view, other than a change
// of only ConfirmedAt and Path. A change of WithinLease closes the channel, too.
func (r *Replica) Changed() <-chan struct{} {
	changed, _ := r.publisher.changes()
	return changed
}

// IsLeader reports whether this member leads and has applied all entries committed before its
// term. Its state is then current enough to decide on the next proposals.
func (r *Replica) IsLeader() bool {
	raftNode := r.raft.Load()
	return raftNode != nil && raftNode.State() == raft.Leader && r.readyTerm.Load() == raftNode.CurrentTerm()
}

// Addr returns the HOST:PORT at which other members reach this one.
func (r *Replica) Addr() string { return r.self.Addr }

// watchLease notifies the view's waiters when the lease expires and when it is renewed.
func (r *Replica) watchLease(ctx context.Context) {
	ticker := time.NewTicker(r.options.heartbeatInterval())
	defer ticker.Stop()
	wasWithinLease := false
	for {
		if v := r.View(); v.WithinLease != wasWithinLease {
			wasWithinLease = v.WithinLease
			if wasWithinLease {
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

// reselectUpstream ends the current upstream session, so that follow selects again.
func (r *Replica) reselectUpstream() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelUpstream()
}
