package udp

import (
	"context"
	"hash/maphash"
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/net/ipv4"

	"coralrelay/balance"
	"coralrelay/internal/flowtable"
	"coralrelay/internal/logging"
	"coralrelay/internal/mutation"
)

const (
	// batchSize is the maximum number of datagrams per read or write.
	batchSize = 64
	// maxDatagramSize is the largest payload of a datagram over IPv4, in bytes.
	maxDatagramSize = 65507
	// typicalDatagramSize is the initial size of buffers for replies, in bytes. A buffer grows to
	// maxDatagramSize after its first larger reply, which is dropped.
	typicalDatagramSize = 2048
	// maintenanceInterval is the time between runs of expiry and placement.
	maintenanceInterval = 20 * time.Millisecond
	// maxExpiredPerStep is the maximum number of flows examined for expiry per run.
	maxExpiredPerStep = 4096
)

// Listener forwards the datagrams that arrive at one socket.
type Listener struct {
	options    Options
	dispatcher Dispatcher
	endpoints  Endpoints
	conn       *net.UDPConn
	packets    *ipv4.PacketConn // batch I/O on conn
	addr       netip.AddrPort   // the local address of conn
	idPrefix   string           // prefix of placement IDs
	start      time.Time        // origin of the times passed to flowtable
	warnings   logging.Throttled

	// Counts may be read at any time, without the mutex.
	Counts Counts

	wg          sync.WaitGroup // all goroutines except runOutbox, which Serve waits for separately
	outboxReady chan struct{}  // holds a value after calls have been added to outbox

	mu     sync.Mutex // protects all fields below
	closed bool
	outbox []func() // pending calls of the dispatcher, in order

	table         *flowtable.Table
	bindings      []binding // by index of the flow's entry in table
	boundFlows    int       // flows that have an upstream socket
	sources       *flowtable.Sources
	queueBudget   flowtable.QueueBudget
	newFlows      flowtable.Pacer // new flows that wait for a placement
	replacedFlows flowtable.Pacer // flows that wait to be placed again; served before newFlows
	lastID        uint64          // latest number used in a placement ID

	openSockets   int // upstream sockets, excluding echo sockets
	sourcePorts   sourcePorts
	sharedSockets map[string]*upstreamSocket // by endpoint
	unflushed     []*upstreamSocket          // shared sockets with pending datagrams
	batchTime     time.Duration              // when the current batch was read

	health         map[string]*endpointHealth // by endpoint; endpoints that have or had flows
	silenceCheckAt time.Time                  // time of the next check for silent endpoints
}

// binding is a flow's client and placement.
type binding struct {
	client          netip.AddrPort
	queue           flowtable.Queue // datagrams that wait for the placement
	placement       *placement      // requested or established; nil if there is none
	awaitsPlacement bool            // the flow is queued in newFlows or replacedFlows
}

// newListener returns a listener, which does nothing until Serve is called.
func newListener(options Options, conn *net.UDPConn, dispatcher Dispatcher, endpoints Endpoints) *Listener {
	if options.Table.Seed == (maphash.Seed{}) {
		options.Table.Seed, options.Sources.Seed = maphash.MakeSeed(), maphash.MakeSeed()
	}
	return &Listener{
		options:       options,
		dispatcher:    dispatcher,
		endpoints:     endpoints,
		conn:          conn,
		packets:       ipv4.NewPacketConn(conn),
		addr:          conn.LocalAddr().(*net.UDPAddr).AddrPort(),
		idPrefix:      "u",
		start:         time.Now(),
		table:         flowtable.NewTable(options.Table),
		bindings:      make([]binding, options.Table.Entries),
		sources:       flowtable.NewSources(options.Sources),
		queueBudget:   options.QueueBudget,
		newFlows:      options.NewFlows,
		replacedFlows: options.ReplacedFlows,
		sharedSockets: map[string]*upstreamSocket{},
		health:        map[string]*endpointHealth{},
		outboxReady:   make(chan struct{}, 1),
	}
}

// Addr returns the address that the listener receives on.
func (l *Listener) Addr() netip.AddrPort { return l.addr }

// Len returns the number of flows in the table and the number of flows with an upstream socket.
func (l *Listener) Len() (known, bound int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, _ = l.table.Len()
	return known, l.boundFlows
}

// elapsed returns the current time as flowtable takes it: the duration since l.start.
func (l *Listener) elapsed() time.Duration { return time.Since(l.start) }

// Serve forwards datagrams until ctx ends. It then ends all placements, closes all sockets, and
// returns after all goroutines have ended and the dispatcher has received all pending calls.
func (l *Listener) Serve(ctx context.Context) {
	stopClosing := context.AfterFunc(ctx, func() { _ = l.conn.Close() })
	defer stopClosing()
	stopOutbox := make(chan struct{})
	var outbox sync.WaitGroup
	outbox.Go(func() { l.runOutbox(stopOutbox) })
	defer outbox.Wait()
	defer close(stopOutbox)
	l.wg.Go(func() { l.maintain(ctx) })
	l.readDatagrams(ctx)
	l.close()
	l.wg.Wait()
}

func (l *Listener) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for i := range l.bindings {
		if current := l.bindings[i].placement; current != nil {
			l.endPlacement(current, balance.Cancelled)
		}
	}
	for _, health := range l.health {
		health.close()
	}
}

// maintain expires flows, places queued flows as the pacers allow, and checks for silent
// endpoints, at each maintenanceInterval until ctx ends.
func (l *Listener) maintain(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		l.mu.Lock()
		if !mutation.Enabled("expiry") {
			l.table.Advance(l.elapsed(), maxExpiredPerStep, l.expireFlow)
		}
		l.placeQueued(now)
		l.replaceSilent(now)
		l.mu.Unlock()
	}
}

func (l *Listener) expireFlow(ref flowtable.Ref) {
	l.Counts.Expired.Add(1)
	l.releaseFlow(ref)
}

// EndpointsChanged applies a change of the endpoint list. It ends the placements of flows whose
// endpoint drains or was removed. Each of these flows is placed again with its next datagram, at
// the rate of Options.ReplacedFlows.
func (l *Listener) EndpointsChanged() {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	draining := map[string]bool{}
	for i := range l.bindings {
		current := l.bindings[i].placement
		if current == nil || current.socket == nil {
			continue
		}
		isDraining, known := draining[current.endpointID]
		if !known {
			isDraining = l.endpoints.IsDraining(current.endpointID, now)
			draining[current.endpointID] = isDraining
		}
		if isDraining {
			l.replacePlacement(current, balance.Cancelled)
		}
	}
	l.deleteRemovedEndpoints()
}

// deleteRemovedEndpoints deletes the health of endpoints that are no longer listed and have no
// flows.
func (l *Listener) deleteRemovedEndpoints() {
	for endpointID, health := range l.health {
		if health.boundFlows == 0 && l.endpoints.Address(endpointID) == "" {
			health.close()
			delete(l.health, endpointID)
		}
	}
}
