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

	sink           Sink
	pollRequested  chan struct{}
	addressChanged chan struct{}
	events         chan event

	mu   sync.Mutex
	addr string

	// What follows belongs to Run's goroutine.
	polledAddr     string     // the address that from is of
	lastGeneration int64      // the last generation seen there
	nextReason     callReason // why the next call is made
	calls          []*call    // under way, at most two; all but the last are told as failed
	callGroup      sync.WaitGroup
}

// New returns a Watch of the discovery service at addr.
func New(addr string, sink Sink) *Watcher {
	return &Watcher{Dial: dial, addr: addr, polledAddr: addr, sink: sink, events: make(chan event),
		pollRequested: make(chan struct{}, 1), addressChanged: make(chan struct{}, 1)}
}

// Subscribe asks for a watch.
func (w *Watcher) Subscribe() { signal(w.pollRequested) }

// note leaves word on a channel that holds one.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
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
		signal(w.addressChanged)
	}
}

// Run serves subscriptions until ctx ends. It starts with the list that the
// node had last, which may be old.
func (w *Watcher) Run(ctx context.Context, known Update) {
	ctx, cancel := context.WithCancel(ctx)
	defer w.callGroup.Wait()
	defer cancel()
	known.Kind = balance.ListCached
	w.lastGeneration = known.Generation
	w.sink.UpdateEndpoints(known)
	for {
		pollRequested, overdue := w.pollRequested, (<-chan time.Time)(nil)
		if len(w.calls) > 0 {
			if last := w.calls[len(w.calls)-1]; !last.failureReported {
				pollRequested, overdue = nil, last.overdue
			} else if len(w.calls) > 1 {
				pollRequested = nil // until one of them ends
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-w.addressChanged:
			w.switchAddress(ctx)
		case <-pollRequested:
			w.startCall(ctx)
		case <-overdue:
			w.reportFailure(w.calls[len(w.calls)-1], errOverdue)
		case event := <-w.events:
			w.handleEvent(event)
		}
	}
}

// address returns where to ask. Who asks there has done what was left to do of a move.
func (w *Watcher) takeAddress() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.addressChanged:
	default:
	}
	return w.addr
}

// move goes over to another address, unless what is under way is there already.
func (w *Watcher) switchAddress(ctx context.Context) {
	addr := w.takeAddress()
	if slices.ContainsFunc(w.calls, func(c *call) bool { return c.addr == addr }) {
		return
	}
	w.discardPollRequest()
	w.startCall(ctx)
}

// begin makes a call. None stays at another address.
func (w *Watcher) startCall(ctx context.Context) {
	if addr := w.takeAddress(); addr != w.polledAddr {
		// Generations of two services need not be of one count: asked from the old one's,
		// the new one might leave changes out.
		w.polledAddr, w.lastGeneration, w.nextReason = addr, 0, reasonWatchEnded
		w.cancelAllBut(nil)
	}
	started := &call{addr: w.polledAddr, fromGeneration: w.lastGeneration, reason: w.nextReason, events: w.events}
	ctx, started.cancel = context.WithCancel(ctx)
	if started.reason == reasonWatchEnded {
		started.listDeadline, started.overdue = time.Now().Add(responseTimeout), time.After(responseTimeout)
	}
	w.calls = append(w.calls, started)
	w.callGroup.Go(func() { started.run(ctx, w.Dial) })
}

// keep ends all calls but one.
func (w *Watcher) cancelAllBut(kept *call) {
	w.calls = slices.DeleteFunc(w.calls, func(c *call) bool {
		if c != kept {
			c.cancel()
		}
		return c != kept
	})
}

// take handles what a call says, unless it has been ended since.
func (w *Watcher) handleEvent(event event) {
	index := slices.Index(w.calls, event.call)
	if index < 0 {
		return
	}
	switch c := event.call; {
	case event.err != nil:
		c.cancel()
		w.calls = slices.Delete(w.calls, index, index+1)
		w.reportFailure(c, event.err)
	case event.progress == progressHeader:
		c.overdue = nil
	case event.progress == progressFirstByte && c.reason == reasonWatchEnded:
		c.overdue = time.After(time.Until(c.listDeadline))
	case event.progress == progressFirstByte:
		if c.reason == reasonCallFailed {
			c.overdue = time.After(responseTimeout)
		}
	default:
		w.cancelAllBut(c)
		c.overdue, c.failureReported, c.watching = nil, false, true
		w.lastGeneration, w.nextReason = event.update.Generation, reasonWatchEnded
		w.sink.UpdateEndpoints(event.update)
	}
}

// fail tells of a failure, once for each call. Only who is told of it asks again: what was
// asked for before is void, or two calls would follow without a pause.
func (w *Watcher) reportFailure(c *call, err error) {
	if c.failureReported {
		return
	}
	c.failureReported = true
	if !c.watching {
		w.nextReason = reasonCallFailed
	}
	w.discardPollRequest()
	slog.Warn("watch ended", "discovery", c.addr, "err", err)
	w.sink.UpdateEndpoints(Update{Kind: balance.ListFailed, Generation: w.lastGeneration})
}

// forget voids what was asked for.
func (w *Watcher) discardPollRequest() {
	select {
	case <-w.pollRequested:
	default:
	}
}
