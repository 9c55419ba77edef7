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
func newListener(options Options, conn *net.UDPConn, dispatcher Dispatcher, endpoints Endpoints) *Listener {
	if options.Table.Seed == (maphash.Seed{}) {
		options.Table.Seed, options.Sources.Seed = maphash.MakeSeed(), maphash.MakeSeed()
	}
	return &Listener{options: options, dispatcher: dispatcher, endpoints: endpoints, conn: conn, addr: conn.LocalAddr().(*net.UDPAddr).AddrPort(), packets: ipv4.NewPacketConn(conn),
		start: time.Now(), idPrefix: "u", table: flowtable.NewTable(options.Table), sources: flowtable.NewSources(options.Sources), queueBudget: options.QueueBudget, newFlows: options.NewFlows, replacedFlows: options.ReplacedFlows,
		bindings: make([]binding, options.Table.Entries), sharedSockets: map[string]*upstreamSocket{}, health: map[string]*endpointHealth{}, outboxReady: make(chan struct{}, 1)}
}

// Addr is where it listens.
func (l *Listener) Addr() netip.AddrPort { return l.addr }

// Len is how many flows are known and how many have a socket.
func (l *Listener) Len() (known, placed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, _ = l.table.Len()
	return known, l.boundFlows
}

// Serve forwards until ctx ends; then it lets all flows go and closes its sockets.
func (l *Listener) Serve(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = l.conn.Close() })
	defer stop()
	readingEnded := make(chan struct{})
	var outbox sync.WaitGroup
	outbox.Go(func() { l.runOutbox(readingEnded) })
	defer outbox.Wait()
	defer close(readingEnded)
	l.wg.Go(func() { l.maintain(ctx) })
	l.readDatagrams(ctx)
	l.mu.Lock()
	l.closed = true
	for i := range l.bindings {
		if current := l.bindings[i].placement; current != nil {
			l.endPlacement(current, balance.Cancelled)
		}
	}
	for _, health := range l.health {
		health.close()
	}
	l.mu.Unlock()
	l.wg.Wait()
}

// say has the Core told, under the lock and without waiting: the Core may itself be
// waiting for the lock, to answer a flow.
func (l *Listener) notify(event func()) {
	l.outbox = append(l.outbox, event)
	select {
	case l.outboxReady <- struct{}{}:
	default:
	}
}

// tell tells the Core, until over is closed and all has been told.
func (l *Listener) runOutbox(stop <-chan struct{}) {
	for stopped := false; !stopped; {
		select {
		case <-l.outboxReady:
		case <-stop:
			stopped = true
		}
		l.mu.Lock()
		events := l.outbox
		l.outbox = nil
		l.mu.Unlock()
		for _, event := range events {
			event()
		}
	}
}

func (l *Listener) elapsed() time.Duration { return time.Since(l.start) }

// read takes datagrams in batches.
func (l *Listener) readDatagrams(ctx context.Context) {
	messages := make([]ipv4.Message, batchSize)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, maxDatagramSize)}
	}
	for {
		n, err := l.packets.ReadBatch(messages, 0)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			l.warnings.Warn("udp: read", "err", err)
			time.Sleep(time.Millisecond)
			continue
		}
		now := time.Now()
		l.mu.Lock()
		l.batchTime = now.Sub(l.start)
		for i := range messages[:n] {
			message := &messages[i]
			if source, ok := message.Addr.(*net.UDPAddr); ok {
				l.handleDatagram(source.AddrPort(), message.Buffers[0][:message.N], now)
			}
		}
		l.flush()
		l.mu.Unlock()
	}
}

// take is called under the lock for each datagram.
func (l *Listener) handleDatagram(source netip.AddrPort, datagram []byte, now time.Time) {
	l.Counts.In.Add(1)
	key := flowtable.Key{Addr: source.Addr().As16(), Port: source.Port()}
	elapsed := now.Sub(l.start)
	ref, known := l.table.Lookup(key)
	if known {
		l.table.Touch(ref, elapsed)
	} else {
		if !l.sources.Allow(key, elapsed) && !mutation.Enabled("source") {
			l.Counts.Limited.Add(1)
			return
		}
		var verdict flowtable.Verdict
		if ref, verdict = l.table.Admit(key, elapsed, func(evicted flowtable.Ref) {
			l.Counts.Evicted.Add(1)
			l.forgetFlow(evicted)
		}); verdict != flowtable.Admitted {
			l.Counts.Full.Add(1)
			return
		}
		l.Counts.Opened.Add(1)
		l.bindings[ref.Index] = binding{client: source, awaitsPlacement: true}
		l.newFlows.Add(ref, l.needsPlacement)
		l.placeQueued(now)
	}
	flow := &l.bindings[ref.Index]
	if current := flow.placement; current != nil && current.socket != nil {
		if l.canSend(current, now) {
			l.send(flow, current, datagram)
			return
		}
		l.replacePlacement(current, balance.Cancelled) // it drains: the flow goes elsewhere, and this datagram with it
	}
	if flow.placement == nil && !flow.awaitsPlacement {
		flow.awaitsPlacement = true
		l.replacedFlows.Add(ref, l.needsPlacement)
		l.placeQueued(now)
	}
	flow.queue.Put(append([]byte(nil), datagram...), l.options.FlowQueue, &l.queueBudget, func([]byte) { l.Counts.Queue.Add(1) })
}

// ask has the module place a flow.
func (l *Listener) requestPlacement(ref flowtable.Ref, now time.Time) {
	flow := &l.bindings[ref.Index]
	l.lastID++
	affinityKey := flow.client.Addr().String()
	requested := &placement{listener: l, ref: ref, Request: dispatch.Request{ID: l.idPrefix + strconv.FormatUint(l.lastID, 36), Class: l.options.Class, Key: affinityKey,
		Deadline: now.Add(l.options.Deadline)}}
	flow.placement = requested
	l.notify(func() { l.dispatcher.Submit(requested, l) })
}

// replace ends a flow's placement. It is placed again when it next sends and its turn
// has come: of the flows of a server that is lost, most may have nothing more to say.
func (l *Listener) replacePlacement(replaced *placement, outcome balance.Outcome) {
	l.endPlacement(replaced, outcome)
	l.Counts.Replaced.Add(1)
}

// wants tells whether a flow in line still has to be placed.
func (l *Listener) needsPlacement(ref flowtable.Ref) bool {
	return l.table.IsValid(ref) && l.bindings[ref.Index].placement == nil
}

// placeInLine asks for those whose turn it is.
func (l *Listener) placeQueued(now time.Time) {
	for _, pacer := range []*flowtable.Pacer{&l.replacedFlows, &l.newFlows} {
		for {
			ref, ok, _ := pacer.Next(now.Sub(l.start), l.needsPlacement)
			if !ok {
				break
			}
			l.bindings[ref.Index].awaitsPlacement = false
			l.requestPlacement(ref, now)
		}
	}
}

// end ends a placement, whatever its state.
func (l *Listener) endPlacement(ending *placement, outcome balance.Outcome) {
	if ending.ended {
		return
	}
	ending.ended = true
	if l.bindings[ending.ref.Index].placement == ending {
		l.bindings[ending.ref.Index].placement = nil
	}
	if ending.socket == nil {
		l.notify(func() { l.dispatcher.ClientGone(ending) })
		return
	}
	socket := ending.socket
	ending.socket = nil
	l.boundFlows--
	l.releaseSocket(socket)
	l.notify(func() { l.dispatcher.PlacementEnded(ending, outcome) })
}

// leave forgets what the front has of a flow.
func (l *Listener) forgetFlow(ref flowtable.Ref) {
	flow := &l.bindings[ref.Index]
	flow.queue.Drain(&l.queueBudget, func([]byte) { l.Counts.Gone.Add(1) })
	if flow.placement != nil {
		l.endPlacement(flow.placement, balance.OK)
	}
}

// keep lets time pass: flows expire, those in line are placed again.
func (l *Listener) maintain(ctx context.Context) {
	tick := time.NewTicker(maintenanceInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		l.mu.Lock()
		if !mutation.Enabled("expiry") {
			l.table.Advance(l.elapsed(), maxExpiredPerStep, func(ref flowtable.Ref) {
				l.Counts.Expired.Add(1)
				l.forgetFlow(ref)
			})
		}
		l.placeQueued(now)
		l.replaceSilent(now)
		l.mu.Unlock()
	}
}

// Look is told that the list of next hops has changed: flows whose next hop drains or
// is gone leave it at once, and what they send next goes elsewhere, at the pace.
func (l *Listener) EndpointsChanged() {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	leaving := map[string]bool{}
	for i := range l.bindings {
		current := l.bindings[i].placement
		if current == nil || current.socket == nil {
			continue
		}
		isLeaving, known := leaving[current.endpointID]
		if !known {
			isLeaving = l.endpoints.IsDraining(current.endpointID, now)
			leaving[current.endpointID] = isLeaving
		}
		if isLeaving {
			l.replacePlacement(current, balance.Cancelled)
		}
	}
	for endpointID, health := range l.health {
		if health.boundFlows == 0 && l.endpoints.Address(endpointID) == "" {
			health.close()
			delete(l.health, endpointID)
		}
	}
}

// ---- a placement, as the Core sees it ----

// Start gives a flow its socket. Nothing is sent to find out whether the next hop is
// there: a flow counts as up when it has one, which speaks for nobody, and a refusal or
// silence ends it later.
func (l *Listener) StartAttempt(requested dispatch.Placement, attempt int, endpointID string, _ time.Time) {
	starting := requested.(*placement)
	l.wg.Go(func() {
		startedAt := time.Now()
		if l.establish(starting, endpointID, startedAt) {
			l.dispatcher.AttemptEstablished(starting, attempt, endpointID, 0) // nobody was asked
		} else {
			l.dispatcher.AttemptEnded(starting, attempt, endpointID, balance.ConnectFailed, time.Since(startedAt), balance.EmptyLoadReport)
		}
	})
}

func (l *Listener) establish(starting *placement, endpointID string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if starting.ended || l.closed || !l.endpoints.CanSend(endpointID, now) {
		return false
	}
	socket, opened, err := l.acquireSocket(endpointID)
	if err != nil {
		l.warnings.Warn("udp: socket", "nexthop", endpointID, "err", err)
		return false
	}
	starting.socket, starting.endpointID = socket, endpointID
	l.boundFlows++
	l.batchTime = now.Sub(l.start)
	flow := &l.bindings[starting.ref.Index]
	flow.queue.Drain(&l.queueBudget, func(datagram []byte) {
		if starting.socket != nil {
			l.send(flow, starting, datagram)
		} else {
			l.Counts.Unsent.Add(1) // refused on the way
		}
	})
	l.flush()
	if opened && socket.boundFlows > 0 { // else it stood, if not for long; Ended has been told
		if l.options.SharedSockets {
			l.wg.Go(func() { l.relaySharedReplies(socket) })
		} else {
			l.wg.Go(func() { l.relayReplies(starting, socket.conn) })
		}
	}
	return true
}

// replies passes on what a next hop answers, to the flow's own client alone: the
// socket is that placement's, and ends with it.
func (l *Listener) relayReplies(current *placement, conn *net.UDPConn) {
	client := l.clientAddress(current)
	buffer := make([]byte, typicalDatagramSize)
	for {
		n, _, flags, _, err := conn.ReadMsgUDPAddrPort(buffer, nil)
		if err != nil {
			l.mu.Lock()
			if isRefused(err) && !current.ended {
				l.replacePlacement(current, balance.Reset)
			}
			ended := current.ended
			l.mu.Unlock()
			if ended || errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		if flags&truncatedFlag != 0 && len(buffer) < maxDatagramSize {
			buffer = make([]byte, maxDatagramSize) // this one is lost, the next is not
			l.Counts.UnmatchedReplies.Add(1)
			continue
		}
		l.mu.Lock()
		isCurrent := !current.ended && l.table.IsValid(current.ref)
		if isCurrent {
			current.socket.health.evidence.Received()
			l.table.Touch(current.ref, l.elapsed())
		}
		l.mu.Unlock()
		if !isCurrent {
			l.Counts.UnmatchedReplies.Add(1)
			continue
		}
		if _, err := l.conn.WriteToUDPAddrPort(buffer[:n], client); err == nil {
			l.Counts.Replies.Add(1)
		}
	}
}

func (l *Listener) clientAddress(current *placement) netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bindings[current.ref.Index].client
}

// Asked is the request.
func (p *placement) PlacementRequest() *dispatch.Request { return &p.Request }

// Refuse drops what waits: a datagram's client has no other answer.
func (p *placement) Reject(time.Duration) bool { return p.Fail() }

// Fail is the same. The flow is placed anew with its next datagram.
func (p *placement) Fail() bool {
	listener := p.listener
	listener.mu.Lock()
	defer listener.mu.Unlock()
	if p.ended || p.socket != nil {
		return false
	}
	p.ended = true
	flow := &listener.bindings[p.ref.Index]
	if flow.placement == p {
		flow.placement = nil
		flow.queue.Drain(&listener.queueBudget, func([]byte) { listener.Counts.Refused.Add(1) })
		listener.table.Remove(p.ref)
	}
	return true
}

// Move has the flow placed again, in mid-flow.
func (p *placement) Migrate() {
	p.listener.mu.Lock()
	defer p.listener.mu.Unlock()
	if p.socket != nil {
		p.listener.replacePlacement(p, balance.Cancelled)
	}
}
