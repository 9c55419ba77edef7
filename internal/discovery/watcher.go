package discovery

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/audit"
	"coralrelay/internal/listlease"
)

// Sink receives the updates of a Watcher in order, on the goroutine of Run.
type Sink interface {
	UpdateEndpoints(update Update)
}

// Watcher follows the endpoint list. It makes a call when Subscribe requests one, normally one at a
// time. A failed call is reported to the Sink; the Watcher does not retry by itself. A call that is
// overdue is reported as failed but goes on: the next call runs in parallel, and the first complete
// list of the two wins.
type Watcher struct {
	// Dial connects to an address before the deadline, over TCP unless a test replaces it. It must
	// be set before Run.
	Dial func(ctx context.Context, addr string, deadline time.Time) (net.Conn, error)
	// Now is the clock to which the start times of endpoints are converted. It must be set before
	// Run.
	Now func() time.Time
	// OnLease is called on the goroutine of Run whenever the lease of the list may have changed,
	// after the Sink has received the list that the status describes. It may be nil, and must be
	// set before Run.
	OnLease func(status listlease.Status)

	// Limits limit what a response may make the node read and store. They must be set before Run.
	Limits Limits

	sink           Sink
	pollRequested  chan struct{} // holds a value if a poll is requested
	addressChanged chan struct{} // holds a value if addr has changed since takeAddress
	events         chan event    // from the calls

	mu   sync.Mutex
	addr string

	instances    atomic.Int64 // number of instances that call the service
	terms        atomic.Pointer[listlease.Terms]
	termsChanged chan struct{} // holds a value if terms has changed
	status       atomic.Pointer[listlease.Status]
	callCounts   [listlease.OutcomeCount]atomic.Int64 // calls that have ended, by outcome

	// The fields below belong to the goroutine of Run.
	lastCall       int        // number of the latest call
	polledAddr     string     // address of the latest call
	lastGeneration int64      // generation of the latest list from polledAddr
	nextReason     callReason // reason for the next call
	needsFullList  bool       // the next call requests a complete list: changes may be unusable again
	startTimes     startTimeConverter
	listed         endpointSet
	calls          []*call // ongoing calls, at most two; all but the last have been reported as failed
	callGroup      sync.WaitGroup
	lease          *listlease.Lease
	expiry         *time.Timer // for the end of the lease, and for the log lines after it
	expiredSince   time.Time   // when the lease expired; zero while it is valid or until expiry is noticed
}

// New returns a Watcher that follows the discovery service at addr once Run is called.
func New(addr string, sink Sink) *Watcher {
	return &Watcher{
		Dial:           dial,
		Now:            time.Now,
		Limits:         defaultLimits,
		startTimes:     startTimeConverter{known: map[string]time.Duration{}},
		sink:           sink,
		pollRequested:  make(chan struct{}, 1),
		addressChanged: make(chan struct{}, 1),
		termsChanged:   make(chan struct{}, 1),
		events:         make(chan event),
		addr:           addr,
		polledAddr:     addr,
	}
}

// Subscribe requests a call, and does not block. The request has no effect if the latest call is neither
// overdue nor failed. While two calls are ongoing, the request waits until one of them ends.
func (w *Watcher) Subscribe() { signal(w.pollRequested) }

// SetInstances sets how many instances call the service, including this one. It applies to calls
// that start later, and may be called from any goroutine.
func (w *Watcher) SetInstances(instances int) { w.instances.Store(int64(instances)) }

// signal sends to a channel of capacity one, unless the channel is full.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// SetAddress switches to the discovery service at addr immediately. The list is kept, and the end
// of the old watch is not reported as a failure.
func (w *Watcher) SetAddress(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if addr != w.addr {
		w.addr = addr
		signal(w.addressChanged)
	}
}

// Run makes the requested calls until ctx ends. The first update that it reports is the cached
// list, which may be out of date.
func (w *Watcher) Run(ctx context.Context, cached Update) {
	ctx, cancel := context.WithCancel(ctx)
	defer w.callGroup.Wait()
	defer cancel()
	cached.Kind = balance.ListCached
	w.lastGeneration = cached.Generation
	w.expiry = time.NewTimer(listlease.NotifyDelay)
	defer w.expiry.Stop()
	w.startLease(cached)
	w.listed.apply(&cached)
	w.startTimes.convert(w.Now(), &cached, false)
	w.sink.UpdateEndpoints(cached)
	for {
		pollRequested, overdue := w.waitChannels()
		select {
		case <-ctx.Done():
			return
		case <-w.addressChanged:
			w.switchAddress(ctx)
		case <-pollRequested:
			w.startCall(ctx)
		case <-overdue:
			w.reportFailure(w.calls[len(w.calls)-1], "overdue", errOverdue, balance.CallFailed)
		case <-w.termsChanged:
			w.lease.SetTerms(w.currentTerms())
			w.publishLease()
		case <-w.expiry.C:
			w.logExpired()
		case ev := <-w.events:
			w.handleEvent(ev)
		}
	}
}

// waitChannels returns the channels that Run waits for depending on the ongoing calls: the poll
// requests, unless two calls are ongoing or the latest one has not been reported as failed; and the
// timer that fires when the latest call becomes overdue. A nil channel is not waited for.
func (w *Watcher) waitChannels() (pollRequested <-chan struct{}, overdue <-chan time.Time) {
	if len(w.calls) == 0 {
		return w.pollRequested, nil
	}
	if last := w.calls[len(w.calls)-1]; !last.failureReported {
		return nil, last.overdue
	}
	if len(w.calls) > 1 {
		return nil, nil // wait until one of the calls ends
	}
	return w.pollRequested, nil
}

// takeAddress returns the address to poll, and clears the signal that it has changed.
func (w *Watcher) takeAddress() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.addressChanged:
	default:
	}
	return w.addr
}

// switchAddress starts a call to the new address, unless an ongoing call has that address already.
func (w *Watcher) switchAddress(ctx context.Context) {
	addr := w.takeAddress()
	if slices.ContainsFunc(w.calls, func(c *call) bool { return c.addr == addr }) {
		return
	}
	w.discardPollRequest()
	w.startCall(ctx)
}

// startCall starts a call and cancels calls to another address.
func (w *Watcher) startCall(ctx context.Context) {
	if addr := w.takeAddress(); addr != w.polledAddr {
		// The generations of two services need not be comparable: if the new service were polled
		// from the generation of the old one, it might omit changes.
		w.polledAddr, w.lastGeneration, w.nextReason = addr, 0, reasonAddressChanged
		w.lease.ChangeAddress(time.Now())
		w.publishLease()
		audit.Count(audit.ReconnectAddressChanged)
		w.cancelCallsExcept(nil)
	}
	w.lastCall++
	newCall := &call{
		number:         w.lastCall,
		addr:           w.polledAddr,
		fromGeneration: w.lastGeneration,
		startedAt:      time.Now(),
		headerTimeout:  headerTimeout(int(w.instances.Load())),
		limits:         w.Limits,
		events:         w.events,
		reason:         w.nextReason,
	}
	if w.needsFullList {
		newCall.fromGeneration = 0
	}
	ctx, newCall.cancel = context.WithCancel(ctx)
	if newCall.reason.hasListDeadline() {
		newCall.listDeadline, newCall.overdue = newCall.startedAt.Add(responseTimeout), time.After(responseTimeout)
	} else {
		newCall.overdue = time.After(queueTimeout)
	}
	w.calls = append(w.calls, newCall)
	slog.Debug("endpoint list call started", w.describe(newCall)...)
	w.callGroup.Go(func() { newCall.run(ctx, w.Dial) })
}

// cancelCallsExcept cancels all calls except kept, which may be nil.
func (w *Watcher) cancelCallsExcept(kept *call) {
	w.calls = slices.DeleteFunc(w.calls, func(c *call) bool {
		if c != kept {
			c.cancel()
			w.countCall(listlease.Superseded)
			slog.Debug("endpoint list call superseded", w.describe(c)...)
		}
		return c != kept
	})
}
