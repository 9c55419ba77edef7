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
	// batchSize is how many datagrams are read or written at once.
	batchSize = 64
	// maxDatagramSize is the largest payload of a datagram over IPv4, in bytes.
	maxDatagramSize = 65507
	// typicalDatagramSize is the size of buffers for replies, in bytes. They grow to
	// maxDatagramSize with the first larger reply, which is lost.
	typicalDatagramSize = 2048
	// maintenanceInterval is how often flows are expired and placed.
	maintenanceInterval = 20 * time.Millisecond
	// maxExpiredPerStep is how many flows are looked at for expiry each time.
	maxExpiredPerStep = 4096
)

// Listener forwards the datagrams of one socket.
type Listener struct {
	options    Options
	dispatcher Dispatcher
	endpoints  Endpoints
	conn       *net.UDPConn
	packets    *ipv4.PacketConn // conn, for batches
	addr       netip.AddrPort   // the local address of conn
	idPrefix   string           // of its placements' IDs
	start      time.Time        // flowtable's times count from here
	warnings   logging.Throttled

	// Counts are read at any time.
	Counts Counts

	wg          sync.WaitGroup // of its goroutines, but for those that Serve waits for itself
	outboxReady chan struct{}  // holds one value while the outbox is not empty

	mu     sync.Mutex // for all that follows
	closed bool
	outbox []func() // calls of the dispatcher, in order

	table         *flowtable.Table
	bindings      []binding // of the flow in the table's entry of the same index
	boundFlows    int       // flows that have an upstream socket
	sources       *flowtable.Sources
	queueBudget   flowtable.QueueBudget
	newFlows      flowtable.Pacer // new flows that wait for a placement
	replacedFlows flowtable.Pacer // flows that wait for another placement; they go first
	lastID        uint64          // of placements

	openSockets   int // upstream sockets, without those for echoes
	sourcePorts   sourcePorts
	sharedSockets map[string]*upstreamSocket // by endpoint
	unflushed     []*upstreamSocket          // shared ones with pending datagrams
	batchTime     time.Duration              // when the batch under way was read

	health         map[string]*endpointHealth // by endpoint: those that have or had flows
	silenceCheckAt time.Time                  // when silent endpoints are next looked for
}

// binding is a flow's client and placement.
type binding struct {
	client          netip.AddrPort
	queue           flowtable.Queue // datagrams that wait for the placement
	placement       *placement      // requested or established, nil if there is none
	awaitsPlacement bool            // it is in newFlows or replacedFlows
}

// newListener returns a listener that nothing happens with until Serve is called.
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

// Addr is the address that it listens on.
func (l *Listener) Addr() netip.AddrPort { return l.addr }

// Len returns how many flows are known and how many have an upstream socket.
func (l *Listener) Len() (known, bound int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, _ = l.table.Len()
	return known, l.boundFlows
}

// elapsed is the current time as flowtable counts it.
func (l *Listener) elapsed() time.Duration { return time.Since(l.start) }

// Serve forwards datagrams until ctx ends. Then it ends all placements, closes its sockets and
// returns when its goroutines have ended and the dispatcher knows of it.
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

// maintain expires flows, places those whose turn has come and checks for silent endpoints.
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
	l.forgetFlow(ref)
}

// EndpointsChanged tells the listener that the list of endpoints has changed: flows whose
// endpoint drains or was removed lose it at once, and are placed again at the rate of
// Options.ReplacedFlows when they next send.
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
	l.forgetRemovedEndpoints()
}

func (l *Listener) forgetRemovedEndpoints() {
	for endpointID, health := range l.health {
		if health.boundFlows == 0 && l.endpoints.Address(endpointID) == "" {
			health.close()
			delete(l.health, endpointID)
		}
	}
}
