package discovery

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"coralrelay/balance"
)

// Sink is told what the roster says, in order.
type Sink interface {
	UpdateEndpoints(u Update)
}

// Watch follows discovery. It makes one call at a time, each when it is asked to: what
// fails is told, and somebody else decides when to ask again. A call that is late is told
// as failed and goes on: the next one is made beside it, and the first whole list wins.
type Watcher struct {
	// Dial connects to an address by a deadline, over TCP unless a test has another way.
	// Set before Run.
	Dial func(ctx context.Context, addr string, deadline time.Time) (net.Conn, error)

	sink  Sink
	want  chan struct{}
	moved chan struct{}
	news  chan news

	mu   sync.Mutex
	addr string

	// What follows belongs to Run's goroutine.
	asked string  // the address that from is of
	from  int64   // the last generation seen there
	after after   // why the next call is made
	calls []*call // under way, at most two; all but the last are told as failed
	parts sync.WaitGroup
}

// New returns a Watch of the discovery service at addr.
func New(addr string, sink Sink) *Watcher {
	return &Watcher{Dial: dial, addr: addr, asked: addr, sink: sink, news: make(chan news),
		want: make(chan struct{}, 1), moved: make(chan struct{}, 1)}
}

// Subscribe asks for a watch.
func (w *Watcher) Subscribe() { note(w.want) }

// note leaves word on a channel that holds one.
func note(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Follow goes over to the discovery service at addr at once. The list stays; the
// end of the old watch is no failure and is not told.
func (w *Watcher) SetAddress(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if addr != w.addr {
		w.addr = addr
		note(w.moved)
	}
}

// Run serves subscriptions until ctx ends. It starts with the list that the
// node had last, which may be old.
func (w *Watcher) Run(ctx context.Context, known Update) {
	ctx, cancel := context.WithCancel(ctx)
	defer w.parts.Wait()
	defer cancel()
	known.Kind = balance.ListCached
	w.from = known.Generation
	w.sink.UpdateEndpoints(known)
	for {
		want, late := w.want, (<-chan time.Time)(nil)
		if len(w.calls) > 0 {
			if last := w.calls[len(w.calls)-1]; !last.failed {
				want, late = nil, last.late
			} else if len(w.calls) > 1 {
				want = nil // until one of them ends
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-w.moved:
			w.move(ctx)
		case <-want:
			w.begin(ctx)
		case <-late:
			w.fail(w.calls[len(w.calls)-1], errLate)
		case n := <-w.news:
			w.take(n)
		}
	}
}

// address returns where to ask. Who asks there has done what was left to do of a move.
func (w *Watcher) address() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.moved:
	default:
	}
	return w.addr
}

// move goes over to another address, unless what is under way is there already.
func (w *Watcher) move(ctx context.Context) {
	addr := w.address()
	if slices.ContainsFunc(w.calls, func(c *call) bool { return c.addr == addr }) {
		return
	}
	w.forget()
	w.begin(ctx)
}

// begin makes a call. None stays at another address.
func (w *Watcher) begin(ctx context.Context) {
	if addr := w.address(); addr != w.asked {
		// Generations of two services need not be of one count: asked from the old one's,
		// the new one might leave changes out.
		w.asked, w.from, w.after = addr, 0, afterWatch
		w.keep(nil)
	}
	c := &call{addr: w.asked, from: w.from, after: w.after, news: w.news}
	ctx, c.stop = context.WithCancel(ctx)
	if c.after == afterWatch {
		c.due, c.late = time.Now().Add(answered), time.After(answered)
	}
	w.calls = append(w.calls, c)
	w.parts.Go(func() { c.run(ctx, w.Dial) })
}

// keep ends all calls but one.
func (w *Watcher) keep(one *call) {
	w.calls = slices.DeleteFunc(w.calls, func(c *call) bool {
		if c != one {
			c.stop()
		}
		return c != one
	})
}

// take handles what a call says, unless it has been ended since.
func (w *Watcher) take(n news) {
	i := slices.Index(w.calls, n.call)
	if i < 0 {
		return
	}
	switch c := n.call; {
	case n.err != nil:
		c.stop()
		w.calls = slices.Delete(w.calls, i, i+1)
		w.fail(c, n.err)
	case n.stage == headed:
		c.late = nil
	case n.stage == begun && c.after == afterWatch:
		c.late = time.After(time.Until(c.due))
	case n.stage == begun:
		if c.after == afterFailure {
			c.late = time.After(answered)
		}
	default:
		w.keep(c)
		c.late, c.failed, c.listed = nil, false, true
		w.from, w.after = n.update.Generation, afterWatch
		w.sink.UpdateEndpoints(n.update)
	}
}

// fail tells of a failure, once for each call. Only who is told of it asks again: what was
// asked for before is void, or two calls would follow without a pause.
func (w *Watcher) fail(c *call, err error) {
	if c.failed {
		return
	}
	c.failed = true
	if !c.listed {
		w.after = afterFailure
	}
	w.forget()
	slog.Warn("watch ended", "discovery", c.addr, "err", err)
	w.sink.UpdateEndpoints(Update{Kind: balance.ListFailed, Generation: w.from})
}

// forget voids what was asked for.
func (w *Watcher) forget() {
	select {
	case <-w.want:
	default:
	}
}
