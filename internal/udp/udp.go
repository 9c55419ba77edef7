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
	batch = 64
	// largest is the largest datagram.
	largest = 65507
	// usual is the size that is expected, for which buffers are kept; a larger one is
	// read all the same.
	usual = 2048
	// step is how often flows expire and waiting ones are placed.
	step = 20 * time.Millisecond
	// expiring is how many flows are looked at in a step.
	expiring = 4096
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
	In, Forwarded, Replies, Stray               atomic.Int64
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
	o       Options
	core    Dispatcher
	hops    Endpoints
	conn    *net.UDPConn
	addr    netip.AddrPort // where it listens
	packets *ipv4.PacketConn
	start   time.Time
	Counts  Counts
	failed  logging.Throttled

	mu       sync.Mutex
	table    *flowtable.Table
	sources  *flowtable.Sources
	room     flowtable.QueueBudget
	fresh    flowtable.Pacer    // new flows in line
	again    flowtable.Pacer    // those that were placed before, which go first
	flows    []place            // beside the table's entries
	placed   int                // flows that have a socket
	sockets  int                // that they have
	ports    ports              // that those come from
	outlets  map[string]*outlet // the shared ones, by next hop
	due      []*outlet          // have something to write
	name     string             // that its placements have in common
	named    uint64
	health   map[string]*health // of next hops that have or had flows
	soughtAt time.Time          // when silent ones are next looked for
	clock    time.Duration      // when the batch came that is under way
	wg       sync.WaitGroup
	closed   bool
	outbox   []func() // what the Core is to be told, in order
	news     chan struct{}
}

// place is what the front keeps of a flow.
type place struct {
	client  netip.AddrPort
	waiting flowtable.Queue
	item    *item // the placement that is asked for or stands, nil if none is
	inLine  bool  // it waits to be placed again
}

// item is one placement of a flow.
type item struct {
	dispatch.Request
	front *Listener
	ref   flowtable.Ref
	// Under the front's lock:
	server string
	out    *outlet // set while it stands
	over   bool
}

// newFront returns one that takes what comes by conn. Serve has to be called for anything
// to happen.
func newFront(o Options, conn *net.UDPConn, core Dispatcher, hops Endpoints) *Listener {
	if o.Table.Seed == (maphash.Seed{}) {
		o.Table.Seed, o.Sources.Seed = maphash.MakeSeed(), maphash.MakeSeed()
	}
	return &Listener{o: o, core: core, hops: hops, conn: conn, addr: conn.LocalAddr().(*net.UDPAddr).AddrPort(), packets: ipv4.NewPacketConn(conn),
		start: time.Now(), name: "u", table: flowtable.NewTable(o.Table), sources: flowtable.NewSources(o.Sources), room: o.QueueBudget, fresh: o.NewFlows, again: o.ReplacedFlows,
		flows: make([]place, o.Table.Entries), outlets: map[string]*outlet{}, health: map[string]*health{}, news: make(chan struct{}, 1)}
}

// Addr is where it listens.
func (f *Listener) Addr() netip.AddrPort { return f.addr }

// Len is how many flows are known and how many have a socket.
func (f *Listener) Len() (known, placed int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, _ = f.table.Len()
	return known, f.placed
}

// Serve forwards until ctx ends; then it lets all flows go and closes its sockets.
func (f *Listener) Serve(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = f.conn.Close() })
	defer stop()
	over := make(chan struct{})
	var teller sync.WaitGroup
	teller.Go(func() { f.tell(over) })
	defer teller.Wait()
	defer close(over)
	f.wg.Go(func() { f.keep(ctx) })
	f.read(ctx)
	f.mu.Lock()
	f.closed = true
	for i := range f.flows {
		if x := f.flows[i].item; x != nil {
			f.end(x, balance.Cancelled)
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
func (f *Listener) say(news func()) {
	f.outbox = append(f.outbox, news)
	select {
	case f.news <- struct{}{}:
	default:
	}
}

// tell tells the Core, until over is closed and all has been told.
func (f *Listener) tell(over <-chan struct{}) {
	for ended := false; !ended; {
		select {
		case <-f.news:
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

func (f *Listener) now() time.Duration { return time.Since(f.start) }

// read takes datagrams in batches.
func (f *Listener) read(ctx context.Context) {
	messages := make([]ipv4.Message, batch)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, largest)}
	}
	for {
		n, err := f.packets.ReadBatch(messages, 0)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			f.failed.Warn("udp: read", "err", err)
			time.Sleep(time.Millisecond)
			continue
		}
		now := time.Now()
		f.mu.Lock()
		f.clock = now.Sub(f.start)
		for i := range messages[:n] {
			m := &messages[i]
			if from, ok := m.Addr.(*net.UDPAddr); ok {
				f.take(from.AddrPort(), m.Buffers[0][:m.N], now)
			}
		}
		f.flush()
		f.mu.Unlock()
	}
}

// take is called under the lock for each datagram.
func (f *Listener) take(from netip.AddrPort, d []byte, now time.Time) {
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
			f.leave(old)
		}); v != flowtable.Admitted {
			f.Counts.Full.Add(1)
			return
		}
		f.Counts.Opened.Add(1)
		f.flows[r.Index] = place{client: from, inLine: true}
		f.fresh.Add(r, f.wants)
		f.placeInLine(now)
	}
	p := &f.flows[r.Index]
	if x := p.item; x != nil && x.out != nil {
		if f.maySend(x, now) {
			f.send(p, x, d)
			return
		}
		f.replace(x, balance.Cancelled) // it drains: the flow goes elsewhere, and this datagram with it
	}
	if p.item == nil && !p.inLine {
		p.inLine = true
		f.again.Add(r, f.wants)
		f.placeInLine(now)
	}
	p.waiting.Put(append([]byte(nil), d...), f.o.FlowQueue, &f.room, func([]byte) { f.Counts.Queue.Add(1) })
}

// ask has the module place a flow.
func (f *Listener) ask(r flowtable.Ref, now time.Time) {
	p := &f.flows[r.Index]
	f.named++
	k := p.client.Addr().String()
	x := &item{front: f, ref: r, Request: dispatch.Request{ID: f.name + strconv.FormatUint(f.named, 36), Class: f.o.Class, Key: k,
		Deadline: now.Add(f.o.Deadline)}}
	p.item = x
	f.say(func() { f.core.Submit(x, f) })
}

// replace ends a flow's placement. It is placed again when it next sends and its turn
// has come: of the flows of a server that is lost, most may have nothing more to say.
func (f *Listener) replace(x *item, outcome balance.Outcome) {
	f.end(x, outcome)
	f.Counts.Replaced.Add(1)
}

// wants tells whether a flow in line still has to be placed.
func (f *Listener) wants(r flowtable.Ref) bool {
	return f.table.IsValid(r) && f.flows[r.Index].item == nil
}

// placeInLine asks for those whose turn it is.
func (f *Listener) placeInLine(now time.Time) {
	for _, line := range []*flowtable.Pacer{&f.again, &f.fresh} {
		for {
			r, ok, _ := line.Next(now.Sub(f.start), f.wants)
			if !ok {
				break
			}
			f.flows[r.Index].inLine = false
			f.ask(r, now)
		}
	}
}

// end ends a placement, whatever its state.
func (f *Listener) end(x *item, outcome balance.Outcome) {
	if x.over {
		return
	}
	x.over = true
	if f.flows[x.ref.Index].item == x {
		f.flows[x.ref.Index].item = nil
	}
	if x.out == nil {
		f.say(func() { f.core.ClientGone(x) })
		return
	}
	out := x.out
	x.out = nil
	f.placed--
	f.letGo(out)
	f.say(func() { f.core.PlacementEnded(x, outcome) })
}

// leave forgets what the front has of a flow.
func (f *Listener) leave(r flowtable.Ref) {
	p := &f.flows[r.Index]
	p.waiting.Drain(&f.room, func([]byte) { f.Counts.Gone.Add(1) })
	if p.item != nil {
		f.end(p.item, balance.OK)
	}
}

// keep lets time pass: flows expire, those in line are placed again.
func (f *Listener) keep(ctx context.Context) {
	tick := time.NewTicker(step)
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
			f.table.Advance(f.now(), expiring, func(r flowtable.Ref) {
				f.Counts.Expired.Add(1)
				f.leave(r)
			})
		}
		f.placeInLine(now)
		f.leaveSilent(now)
		f.mu.Unlock()
	}
}

// Look is told that the list of next hops has changed: flows whose next hop drains or
// is gone leave it at once, and what they send next goes elsewhere, at the pace.
func (f *Listener) Look() {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	leaving := map[string]bool{}
	for i := range f.flows {
		x := f.flows[i].item
		if x == nil || x.out == nil {
			continue
		}
		gone, known := leaving[x.server]
		if !known {
			gone = f.hops.IsDraining(x.server, now)
			leaving[x.server] = gone
		}
		if gone {
			f.replace(x, balance.Cancelled)
		}
	}
	for server, h := range f.health {
		if h.flows == 0 && f.hops.Address(server) == "" {
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
	x := i.(*item)
	f.wg.Go(func() {
		begun := time.Now()
		if f.up(x, server, begun) {
			f.core.AttemptEstablished(x, attempt, server, 0) // nobody was asked
		} else {
			f.core.AttemptEnded(x, attempt, server, balance.ConnectFailed, time.Since(begun), balance.EmptyLoadReport)
		}
	})
}

func (f *Listener) up(x *item, server string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if x.over || f.closed || !f.hops.CanSend(server, now) {
		return false
	}
	out, made, err := f.outlet(server)
	if err != nil {
		f.failed.Warn("udp: socket", "nexthop", server, "err", err)
		return false
	}
	x.out, x.server = out, server
	f.placed++
	f.clock = now.Sub(f.start)
	p := &f.flows[x.ref.Index]
	p.waiting.Drain(&f.room, func(d []byte) {
		if x.out != nil {
			f.send(p, x, d)
		} else {
			f.Counts.Unsent.Add(1) // refused on the way
		}
	})
	f.flush()
	if made && out.flows > 0 { // else it stood, if not for long; Ended has been told
		if f.o.SharedSockets {
			f.wg.Go(func() { f.sharedReplies(out) })
		} else {
			f.wg.Go(func() { f.replies(x, out.conn) })
		}
	}
	return true
}

// replies passes on what a next hop answers, to the flow's own client alone: the
// socket is that placement's, and ends with it.
func (f *Listener) replies(x *item, conn *net.UDPConn) {
	client := f.clientOf(x)
	buffer := make([]byte, usual)
	for {
		n, _, flags, _, err := conn.ReadMsgUDPAddrPort(buffer, nil)
		if err != nil {
			f.mu.Lock()
			if isRefused(err) && !x.over {
				f.replace(x, balance.Reset)
			}
			gone := x.over
			f.mu.Unlock()
			if gone || errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		if flags&truncated != 0 && len(buffer) < largest {
			buffer = make([]byte, largest) // this one is lost, the next is not
			f.Counts.Stray.Add(1)
			continue
		}
		f.mu.Lock()
		stands := !x.over && f.table.IsValid(x.ref)
		if stands {
			x.out.hop.evidence.Received()
			f.table.Touch(x.ref, f.now())
		}
		f.mu.Unlock()
		if !stands {
			f.Counts.Stray.Add(1)
			continue
		}
		if _, err := f.conn.WriteToUDPAddrPort(buffer[:n], client); err == nil {
			f.Counts.Replies.Add(1)
		}
	}
}

func (f *Listener) clientOf(x *item) netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.flows[x.ref.Index].client
}

// Asked is the request.
func (x *item) PlacementRequest() *dispatch.Request { return &x.Request }

// Refuse drops what waits: a datagram's client has no other answer.
func (x *item) Reject(time.Duration) bool { return x.Fail() }

// Fail is the same. The flow is placed anew with its next datagram.
func (x *item) Fail() bool {
	f := x.front
	f.mu.Lock()
	defer f.mu.Unlock()
	if x.over || x.out != nil {
		return false
	}
	x.over = true
	p := &f.flows[x.ref.Index]
	if p.item == x {
		p.item = nil
		p.waiting.Drain(&f.room, func([]byte) { f.Counts.Refused.Add(1) })
		f.table.Remove(x.ref)
	}
	return true
}

// Move has the flow placed again, in mid-flow.
func (x *item) Migrate() {
	x.front.mu.Lock()
	defer x.front.mu.Unlock()
	if x.out != nil {
		x.front.replace(x, balance.Cancelled)
	}
}
