// Package udp is the front for datagrams: those of one flow go to one next hop,
// which the decision module chooses under the same rules as for everybody. It has
// the sockets and nothing decided: places in the table, who waits and who goes
// first are package flow's.
package udp

import (
	"context"
	"errors"
	"hash/maphash"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/ipv4"

	"coralrelay/balance"
	"coralrelay/internal/dispatch"
	"coralrelay/internal/flowtable"
	"coralrelay/internal/logging"
	"coralrelay/internal/mutation"
)

const (
	// batch is how many datagrams are read at once.
	batchSize = 64
	// largest is the largest datagram.
	maxDatagramSize = 65507
	// usual is the size that is expected, for which buffers are kept; a larger one is
	// read all the same.
	typicalDatagramSize = 2048
	// step is how often flows expire and waiting ones are placed.
	maintenanceInterval = 20 * time.Millisecond
	// expiring is how many flows are looked at in a step.
	maxExpiredPerStep = 4096
)

// Decider places flows; *decide.Core does.
type Dispatcher interface {
	Submit(item dispatch.Placement, b dispatch.AttemptStarter)
	ClientGone(item dispatch.Placement)
	PlacementEnded(item dispatch.Placement, outcome balance.Outcome)
	AttemptEstablished(item dispatch.Placement, attempt int, server string, latency time.Duration)
	AttemptEnded(item dispatch.Placement, attempt int, server string, outcome balance.Outcome, latency time.Duration, load balance.LoadReport)
}

// Hops knows where next hops are, and which may be sent to.
type Endpoints interface {
	Address(server string) string // empty if it is not known
	// MaySend is false once the drain grace is over, with some of it kept back.
	CanSend(server string, now time.Time) bool
	IsDraining(server string, now time.Time) bool // it drains, or is gone
	IsResponsive(server string) bool              // its last probe, if there was one
}

// Options size the front.
type Options struct {
	Listen        netip.AddrPort // one address, not all of the machine's: replies come from it
	Class         string
	Deadline      time.Duration // for a decision; what waits longer is dropped
	Table         flowtable.Options
	Sources       flowtable.SourceOptions
	FlowQueue     flowtable.QueueLimit  // of one flow, while it waits for a decision
	QueueBudget   flowtable.QueueBudget // for all that wait
	NewFlows      flowtable.Pacer       // for flows that are new: what a flood may cost the module
	ReplacedFlows flowtable.Pacer       // for flows that have lost their next hop
	Sockets       int                   // to next hops: one for each flow, or for each next hop and front
	SharedSockets bool                  // flows share a next hop's socket, which replies by Proxy alone
	ProxyHeader   bool                  // a PROXY v2 header before each datagram to next hops
	Silence       flowtable.SilenceOptions
	Echo          string // a datagram that next hops answer, to ask for their health; empty for their probes
}

// Counts say what became of datagrams: In = Forwarded + the drops + what waits.
type Counts struct {
	In, Forwarded, Replies, UnmatchedReplies    atomic.Int64
	Full, Limited, Queue, Refused, Unsent, Gone atomic.Int64
	Opened, Expired, Evicted, Replaced          atomic.Int64
	Silent                                      atomic.Int64 // of those replaced: their next hop had fallen silent
}

// Dropped is the sum of all drops.
func (c *Counts) Dropped() int64 {
	return c.Full.Load() + c.Limited.Load() + c.Queue.Load() + c.Refused.Load() + c.Unsent.Load() + c.Gone.Load()
}

// Front serves one socket.
type Listener struct {
	options    Options
	dispatcher Dispatcher
	endpoints  Endpoints
	conn       *net.UDPConn
	addr       netip.AddrPort // where it listens
	packets    *ipv4.PacketConn
	start      time.Time
	Counts     Counts
	warnings   logging.Throttled

	mu             sync.Mutex
	table          *flowtable.Table
	sources        *flowtable.Sources
	queueBudget    flowtable.QueueBudget
	newFlows       flowtable.Pacer            // new flows in line
	replacedFlows  flowtable.Pacer            // those that were placed before, which go first
	bindings       []binding                  // beside the table's entries
	boundFlows     int                        // flows that have a socket
	openSockets    int                        // that they have
	sourcePorts    sourcePorts                // that those come from
	sharedSockets  map[string]*upstreamSocket // the shared ones, by next hop
	unflushed      []*upstreamSocket          // have something to write
	idPrefix       string                     // that its placements have in common
	lastID         uint64
	health         map[string]*endpointHealth // of next hops that have or had flows
	silenceCheckAt time.Time                  // when silent ones are next looked for
	batchTime      time.Duration              // when the batch came that is under way
	wg             sync.WaitGroup
	closed         bool
	outbox         []func() // what the Core is to be told, in order
	outboxReady    chan struct{}
}

// place is what the front keeps of a flow.
type binding struct {
	client          netip.AddrPort
	queue           flowtable.Queue
	placement       *placement // the placement that is asked for or stands, nil if none is
	awaitsPlacement bool       // it waits to be placed again
}

// item is one placement of a flow.
type placement struct {
	dispatch.Request
	listener *Listener
	ref      flowtable.Ref
	// Under the front's lock:
	endpointID string
	socket     *upstreamSocket // set while it stands
	ended      bool
}

// newFront returns one that takes what comes by conn. Serve has to be called for anything
// to happen.
func newListener(o Options, conn *net.UDPConn, core Dispatcher, hops Endpoints) *Listener {
	if o.Table.Seed == (maphash.Seed{}) {
		o.Table.Seed, o.Sources.Seed = maphash.MakeSeed(), maphash.MakeSeed()
	}
	return &Listener{options: o, dispatcher: core, endpoints: hops, conn: conn, addr: conn.LocalAddr().(*net.UDPAddr).AddrPort(), packets: ipv4.NewPacketConn(conn),
		start: time.Now(), idPrefix: "u", table: flowtable.NewTable(o.Table), sources: flowtable.NewSources(o.Sources), queueBudget: o.QueueBudget, newFlows: o.NewFlows, replacedFlows: o.ReplacedFlows,
		bindings: make([]binding, o.Table.Entries), sharedSockets: map[string]*upstreamSocket{}, health: map[string]*endpointHealth{}, outboxReady: make(chan struct{}, 1)}
}

// Addr is where it listens.
func (f *Listener) Addr() netip.AddrPort { return f.addr }

// Len is how many flows are known and how many have a socket.
func (f *Listener) Len() (known, placed int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, _ = f.table.Len()
	return known, f.boundFlows
}

// Serve forwards until ctx ends; then it lets all flows go and closes its sockets.
func (f *Listener) Serve(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = f.conn.Close() })
	defer stop()
	over := make(chan struct{})
	var teller sync.WaitGroup
	teller.Go(func() { f.runOutbox(over) })
	defer teller.Wait()
	defer close(over)
	f.wg.Go(func() { f.maintain(ctx) })
	f.readDatagrams(ctx)
	f.mu.Lock()
	f.closed = true
	for i := range f.bindings {
		if x := f.bindings[i].placement; x != nil {
			f.endPlacement(x, balance.Cancelled)
		}
	}
	for _, h := range f.health {
		h.close()
	}
	f.mu.Unlock()
	f.wg.Wait()
}

// say has the Core told, under the lock and without waiting: the Core may itself be
// waiting for the lock, to answer a flow.
func (f *Listener) notify(news func()) {
	f.outbox = append(f.outbox, news)
	select {
	case f.outboxReady <- struct{}{}:
	default:
	}
}

// tell tells the Core, until over is closed and all has been told.
func (f *Listener) runOutbox(over <-chan struct{}) {
	for ended := false; !ended; {
		select {
		case <-f.outboxReady:
		case <-over:
			ended = true
		}
		f.mu.Lock()
		list := f.outbox
		f.outbox = nil
		f.mu.Unlock()
		for _, news := range list {
			news()
		}
	}
}

func (f *Listener) elapsed() time.Duration { return time.Since(f.start) }

// read takes datagrams in batches.
func (f *Listener) readDatagrams(ctx context.Context) {
	messages := make([]ipv4.Message, batchSize)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, maxDatagramSize)}
	}
	for {
		n, err := f.packets.ReadBatch(messages, 0)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			f.warnings.Warn("udp: read", "err", err)
			time.Sleep(time.Millisecond)
			continue
		}
		now := time.Now()
		f.mu.Lock()
		f.batchTime = now.Sub(f.start)
		for i := range messages[:n] {
			m := &messages[i]
			if from, ok := m.Addr.(*net.UDPAddr); ok {
				f.handleDatagram(from.AddrPort(), m.Buffers[0][:m.N], now)
			}
		}
		f.flush()
		f.mu.Unlock()
	}
}

// take is called under the lock for each datagram.
func (f *Listener) handleDatagram(from netip.AddrPort, d []byte, now time.Time) {
	f.Counts.In.Add(1)
	k := flowtable.Key{Addr: from.Addr().As16(), Port: from.Port()}
	at := now.Sub(f.start)
	r, ok := f.table.Lookup(k)
	if ok {
		f.table.Touch(r, at)
	} else {
		if !f.sources.Allow(k, at) && !mutation.Enabled("source") {
			f.Counts.Limited.Add(1)
			return
		}
		var v flowtable.Verdict
		if r, v = f.table.Admit(k, at, func(old flowtable.Ref) {
			f.Counts.Evicted.Add(1)
			f.forgetFlow(old)
		}); v != flowtable.Admitted {
			f.Counts.Full.Add(1)
			return
		}
		f.Counts.Opened.Add(1)
		f.bindings[r.Index] = binding{client: from, awaitsPlacement: true}
		f.newFlows.Add(r, f.needsPlacement)
		f.placeQueued(now)
	}
	p := &f.bindings[r.Index]
	if x := p.placement; x != nil && x.socket != nil {
		if f.canSend(x, now) {
			f.send(p, x, d)
			return
		}
		f.replacePlacement(x, balance.Cancelled) // it drains: the flow goes elsewhere, and this datagram with it
	}
	if p.placement == nil && !p.awaitsPlacement {
		p.awaitsPlacement = true
		f.replacedFlows.Add(r, f.needsPlacement)
		f.placeQueued(now)
	}
	p.queue.Put(append([]byte(nil), d...), f.options.FlowQueue, &f.queueBudget, func([]byte) { f.Counts.Queue.Add(1) })
}

// ask has the module place a flow.
func (f *Listener) requestPlacement(r flowtable.Ref, now time.Time) {
	p := &f.bindings[r.Index]
	f.lastID++
	k := p.client.Addr().String()
	x := &placement{listener: f, ref: r, Request: dispatch.Request{ID: f.idPrefix + strconv.FormatUint(f.lastID, 36), Class: f.options.Class, Key: k,
		Deadline: now.Add(f.options.Deadline)}}
	p.placement = x
	f.notify(func() { f.dispatcher.Submit(x, f) })
}

// replace ends a flow's placement. It is placed again when it next sends and its turn
// has come: of the flows of a server that is lost, most may have nothing more to say.
func (f *Listener) replacePlacement(x *placement, outcome balance.Outcome) {
	f.endPlacement(x, outcome)
	f.Counts.Replaced.Add(1)
}

// wants tells whether a flow in line still has to be placed.
func (f *Listener) needsPlacement(r flowtable.Ref) bool {
	return f.table.IsValid(r) && f.bindings[r.Index].placement == nil
}

// placeInLine asks for those whose turn it is.
func (f *Listener) placeQueued(now time.Time) {
	for _, line := range []*flowtable.Pacer{&f.replacedFlows, &f.newFlows} {
		for {
			r, ok, _ := line.Next(now.Sub(f.start), f.needsPlacement)
			if !ok {
				break
			}
			f.bindings[r.Index].awaitsPlacement = false
			f.requestPlacement(r, now)
		}
	}
}

// end ends a placement, whatever its state.
func (f *Listener) endPlacement(x *placement, outcome balance.Outcome) {
	if x.ended {
		return
	}
	x.ended = true
	if f.bindings[x.ref.Index].placement == x {
		f.bindings[x.ref.Index].placement = nil
	}
	if x.socket == nil {
		f.notify(func() { f.dispatcher.ClientGone(x) })
		return
	}
	out := x.socket
	x.socket = nil
	f.boundFlows--
	f.releaseSocket(out)
	f.notify(func() { f.dispatcher.PlacementEnded(x, outcome) })
}

// leave forgets what the front has of a flow.
func (f *Listener) forgetFlow(r flowtable.Ref) {
	p := &f.bindings[r.Index]
	p.queue.Drain(&f.queueBudget, func([]byte) { f.Counts.Gone.Add(1) })
	if p.placement != nil {
		f.endPlacement(p.placement, balance.OK)
	}
}

// keep lets time pass: flows expire, those in line are placed again.
func (f *Listener) maintain(ctx context.Context) {
	tick := time.NewTicker(maintenanceInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		f.mu.Lock()
		if !mutation.Enabled("expiry") {
			f.table.Advance(f.elapsed(), maxExpiredPerStep, func(r flowtable.Ref) {
				f.Counts.Expired.Add(1)
				f.forgetFlow(r)
			})
		}
		f.placeQueued(now)
		f.replaceSilent(now)
		f.mu.Unlock()
	}
}

// Look is told that the list of next hops has changed: flows whose next hop drains or
// is gone leave it at once, and what they send next goes elsewhere, at the pace.
func (f *Listener) EndpointsChanged() {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	leaving := map[string]bool{}
	for i := range f.bindings {
		x := f.bindings[i].placement
		if x == nil || x.socket == nil {
			continue
		}
		gone, known := leaving[x.endpointID]
		if !known {
			gone = f.endpoints.IsDraining(x.endpointID, now)
			leaving[x.endpointID] = gone
		}
		if gone {
			f.replacePlacement(x, balance.Cancelled)
		}
	}
	for server, h := range f.health {
		if h.boundFlows == 0 && f.endpoints.Address(server) == "" {
			h.close()
			delete(f.health, server)
		}
	}
}

// ---- a placement, as the Core sees it ----

// Start gives a flow its socket. Nothing is sent to find out whether the next hop is
// there: a flow counts as up when it has one, which speaks for nobody, and a refusal or
// silence ends it later.
func (f *Listener) StartAttempt(i dispatch.Placement, attempt int, server string, _ time.Time) {
	x := i.(*placement)
	f.wg.Go(func() {
		begun := time.Now()
		if f.establish(x, server, begun) {
			f.dispatcher.AttemptEstablished(x, attempt, server, 0) // nobody was asked
		} else {
			f.dispatcher.AttemptEnded(x, attempt, server, balance.ConnectFailed, time.Since(begun), balance.EmptyLoadReport)
		}
	})
}

func (f *Listener) establish(x *placement, server string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if x.ended || f.closed || !f.endpoints.CanSend(server, now) {
		return false
	}
	out, made, err := f.acquireSocket(server)
	if err != nil {
		f.warnings.Warn("udp: socket", "nexthop", server, "err", err)
		return false
	}
	x.socket, x.endpointID = out, server
	f.boundFlows++
	f.batchTime = now.Sub(f.start)
	p := &f.bindings[x.ref.Index]
	p.queue.Drain(&f.queueBudget, func(d []byte) {
		if x.socket != nil {
			f.send(p, x, d)
		} else {
			f.Counts.Unsent.Add(1) // refused on the way
		}
	})
	f.flush()
	if made && out.boundFlows > 0 { // else it stood, if not for long; Ended has been told
		if f.options.SharedSockets {
			f.wg.Go(func() { f.relaySharedReplies(out) })
		} else {
			f.wg.Go(func() { f.relayReplies(x, out.conn) })
		}
	}
	return true
}

// replies passes on what a next hop answers, to the flow's own client alone: the
// socket is that placement's, and ends with it.
func (f *Listener) relayReplies(x *placement, conn *net.UDPConn) {
	client := f.clientAddress(x)
	buffer := make([]byte, typicalDatagramSize)
	for {
		n, _, flags, _, err := conn.ReadMsgUDPAddrPort(buffer, nil)
		if err != nil {
			f.mu.Lock()
			if isRefused(err) && !x.ended {
				f.replacePlacement(x, balance.Reset)
			}
			gone := x.ended
			f.mu.Unlock()
			if gone || errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		if flags&truncatedFlag != 0 && len(buffer) < maxDatagramSize {
			buffer = make([]byte, maxDatagramSize) // this one is lost, the next is not
			f.Counts.UnmatchedReplies.Add(1)
			continue
		}
		f.mu.Lock()
		stands := !x.ended && f.table.IsValid(x.ref)
		if stands {
			x.socket.health.evidence.Received()
			f.table.Touch(x.ref, f.elapsed())
		}
		f.mu.Unlock()
		if !stands {
			f.Counts.UnmatchedReplies.Add(1)
			continue
		}
		if _, err := f.conn.WriteToUDPAddrPort(buffer[:n], client); err == nil {
			f.Counts.Replies.Add(1)
		}
	}
}

func (f *Listener) clientAddress(x *placement) netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bindings[x.ref.Index].client
}

// Asked is the request.
func (x *placement) PlacementRequest() *dispatch.Request { return &x.Request }

// Refuse drops what waits: a datagram's client has no other answer.
func (x *placement) Reject(time.Duration) bool { return x.Fail() }

// Fail is the same. The flow is placed anew with its next datagram.
func (x *placement) Fail() bool {
	f := x.listener
	f.mu.Lock()
	defer f.mu.Unlock()
	if x.ended || x.socket != nil {
		return false
	}
	x.ended = true
	p := &f.bindings[x.ref.Index]
	if p.placement == x {
		p.placement = nil
		p.queue.Drain(&f.queueBudget, func([]byte) { f.Counts.Refused.Add(1) })
		f.table.Remove(x.ref)
	}
	return true
}

// Move has the flow placed again, in mid-flow.
func (x *placement) Migrate() {
	x.listener.mu.Lock()
	defer x.listener.mu.Unlock()
	if x.socket != nil {
		x.listener.replacePlacement(x, balance.Cancelled)
	}
}
