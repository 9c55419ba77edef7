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
	o     Options
	me    Peer
	votes bool // this member is among the voters
	port  *port
	hub   *hub
	first *logentry.State // before the first entry

	raft  atomic.Pointer[raft.Raft] // nil while this member has no vote
	layer atomic.Pointer[layer]     // raft's, as long
	ready atomic.Uint64             // the term in which it led and had applied all that was committed before
	own   atomic.Pointer[mine]      // what it says to who asks; a voter with an open disk

	mu       sync.Mutex
	children map[string]*conn // whom it feeds
	unhook   func()           // makes it choose its upstream again
	proposes chan struct{}    // one for each proposal under way here as leader
	state    *stateFile
}

// Open checks the options, takes the listener and reads what this member knew last. A fault
// of the options names its key. A disk that can't be used is no fault: see View.Disk.
func Open(o Options) (*Replica, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	first, err := logentry.NewState(o.Genesis)
	if err != nil {
		return nil, fmt.Errorf("fleet.record: %w", err)
	}
	r := &Replica{o: o, first: first, children: map[string]*conn{}, unhook: func() {}, proposes: make(chan struct{}, mostProposals)}
	if r.port, err = newPort(&o); err != nil {
		return nil, err
	}
	r.me = Peer{Name: o.Name, Addr: o.Advertise}
	if r.me.Addr == "" {
		r.me.Addr = r.port.Addr().String()
	}
	if v, ok := o.voter(o.Name); ok {
		r.votes, r.me.Addr = true, v.Addr
	}
	r.hub = newHub(first)
	r.state = &stateFile{r: r}
	r.state.load()
	if r.votes {
		r.hub.change(func(v *View) { v.Role = "waiting" })
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
	wg.Go(func() { r.state.run(ctx) })
	wg.Go(func() { r.watch(ctx) })
	if r.votes {
		wg.Go(func() { r.voter(ctx) })
	}
	defer cancel()
	return r.port.serve(ctx, func(kind byte, c *conn) { r.take(ctx, kind, c) })
}

// take serves a member's connection to its end.
func (r *Replica) take(ctx context.Context, kind byte, c *conn) {
	switch kind {
	case forRaft:
		if l := r.layer.Load(); l != nil {
			l.give(c)
		}
	case forFollow:
		r.feed(ctx, c)
	case forPropose, forAsk:
		_ = c.SetDeadline(time.Now().Add(mostWait))
		if kind == forAsk {
			r.answerAsk(c)
		} else {
			r.answerProposal(ctx, c)
		}
	}
}

// View returns what this member knows now.
func (r *Replica) View() View {
	v := *r.hub.view.Load()
	v.Fresh = r.o.Mutations.AlwaysFresh || !v.ConfirmedAt.IsZero() && time.Since(v.ConfirmedAt) < r.o.Lease
	return v
}

// Changed returns a channel that is closed when View next changes in more than the age of
// its word, and when that is no longer fresh, or again.
func (r *Replica) Changed() <-chan struct{} {
	woken, _ := r.hub.waits()
	return woken
}

// Leads tells whether this member decides what is proposed next.
func (r *Replica) IsLeader() bool {
	ra := r.raft.Load()
	return ra != nil && ra.State() == raft.Leader && r.ready.Load() == ra.CurrentTerm()
}

// Addr is where others reach this member.
func (r *Replica) Addr() string { return r.me.Addr }

// watch tells when the word grows old, and when it is fresh again.
func (r *Replica) watch(ctx context.Context) {
	t := time.NewTicker(r.o.pulse())
	defer t.Stop()
	was := false
	for {
		if v := r.View(); v.Fresh != was {
			if was = v.Fresh; was {
				slog.Info("record: heard again", "index", v.State.Index, "leader", v.Leader)
			} else {
				slog.Info("record: nothing heard for the lease, holding to what was committed last", "index", v.State.Index, "lease", r.o.Lease)
			}
			r.hub.change(func(*View) {})
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// rehook makes the member choose anew whom it follows.
func (r *Replica) rehook() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unhook()
}
