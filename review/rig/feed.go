package rig

import (
	"bufio"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Datagram is a datagram that a feed server received.
type Datagram struct {
	At   time.Time
	Text string
}

// Feed is a feed server. It takes connections and datagrams at one address.
type Feed struct {
	ID, Addr string
	InTurn   bool // it answers one datagram after another
	// Capacity is the number of connections at which it reports a load of 1.
	Capacity int

	c           *Case
	tcp         net.Listener
	udp         *net.UDPConn
	open        atomic.Int64
	hung        sync.RWMutex // held while the feed server hangs
	serviceTime atomic.Int64 // in nanoseconds

	mu        sync.Mutex
	datagrams []Datagram
	answers   []Datagram
	opened    []string // first lines, in order
	conns     map[net.Conn]bool
	flows     map[string]time.Time
}

// flowIdle is after how long without a datagram a flow no longer counts in the load report.
const flowIdle = 2 * time.Second

// NewFeed starts a feed server.
func NewFeed(c *Case, id string) (*Feed, error) {
	f := &Feed{ID: id, Capacity: 60, c: c, conns: map[net.Conn]bool{}, flows: map[string]time.Time{}}
	for range 50 { // until a port is free for both
		tcp, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(tcp.Addr().(*net.TCPAddr).AddrPort()))
		if err != nil {
			_ = tcp.Close()
			continue
		}
		f.tcp, f.udp, f.Addr = tcp, udp, tcp.Addr().String()
		c.Cleanup(f.Close)
		go f.accept()
		go f.receive()
		return f, nil
	}
	return nil, fmt.Errorf("no free port for feed server %s", id)
}

// Entry returns the entry of the feed server in discovery's list. It started long ago.
func (f *Feed) Entry(lifecycle string) Instance {
	return Instance{ID: f.ID, HostPort: f.Addr, Zone: "poa-1", Kind: "fast-3", Lifecycle: lifecycle, Weight: 1}
}

// Close closes all sockets of the feed server.
func (f *Feed) Close() {
	_ = f.tcp.Close()
	_ = f.udp.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for conn := range f.conns {
		_ = conn.Close()
	}
}

// SetServiceTime sets how long it takes until a datagram is answered.
func (f *Feed) SetServiceTime(serviceTime time.Duration) { f.serviceTime.Store(int64(serviceTime)) }

// Hang makes the feed server take connections and datagrams and answer nothing until the returned function
// is called. It then answers what has waited.
func (f *Feed) Hang() (end func()) {
	f.c.Record("%s hangs", f.ID)
	f.hung.Lock()
	return func() {
		f.c.Record("%s goes on", f.ID)
		f.hung.Unlock()
	}
}

// awaitHang returns when the feed server does not hang.
func (f *Feed) awaitHang() {
	f.hung.RLock()
	defer f.hung.RUnlock()
}

// Datagrams returns the datagrams received so far.
func (f *Feed) Datagrams() []Datagram {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Datagram(nil), f.datagrams...)
}

// Answers returns the datagrams answered so far, and when.
func (f *Feed) Answers() []Datagram {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Datagram(nil), f.answers...)
}

func (f *Feed) receive() {
	buffer := make([]byte, 2048)
	for {
		n, from, err := f.udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		f.awaitHang()
		now := time.Now()
		flow, _, _ := strings.Cut(string(buffer[:n]), " ")
		f.mu.Lock()
		f.datagrams = append(f.datagrams, Datagram{now, string(buffer[:n])})
		f.flows[flow] = now
		f.mu.Unlock()
		if f.InTurn {
			time.Sleep(time.Duration(f.serviceTime.Load()))
			f.answer(buffer[:n], from)
			continue
		}
		answer := append([]byte(nil), buffer[:n]...)
		time.AfterFunc(time.Duration(f.serviceTime.Load()), func() { f.answer(answer, from) })
	}
}

// answer answers a datagram.
func (f *Feed) answer(datagram []byte, to netip.AddrPort) {
	if _, err := f.udp.WriteToUDPAddrPort(datagram, to); err == nil {
		f.mu.Lock()
		f.answers = append(f.answers, Datagram{time.Now(), string(datagram)})
		f.mu.Unlock()
	}
}

func (f *Feed) accept() {
	for {
		conn, err := f.tcp.Accept()
		if err != nil {
			return
		}
		f.mu.Lock()
		f.conns[conn] = true
		f.mu.Unlock()
		go f.serve(conn)
	}
}

// serve answers probes and one first line, and then echoes lines.
func (f *Feed) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReaderSize(conn, 4096)
	isOpen := false
	for {
		line, err := reader.ReadString('\n')
		f.awaitHang()
		if err != nil {
			if isOpen {
				f.open.Add(-1)
			}
			return
		}
		line = strings.TrimRight(line, "\r\n")
		answer := line
		switch {
		case isOpen:
		case line == "PING":
			answer = "PONG"
		case line == "STATS":
			answer = f.load()
		case strings.HasPrefix(line, "OPEN "):
			isOpen = true
			f.open.Add(1)
			f.mu.Lock()
			f.opened = append(f.opened, line)
			answer = fmt.Sprintf("UP %s-%d", f.ID, len(f.opened))
			f.mu.Unlock()
			f.c.Record("%s took %q", f.ID, line)
		default:
			answer = "SYNTAX"
		}
		if _, err := fmt.Fprintf(conn, "%s\r\n", answer); err != nil {
			return
		}
	}
}

// load returns the answer to STATS.
func (f *Feed) load() string {
	f.mu.Lock()
	inFlight := int(f.open.Load())
	for _, at := range f.flows {
		if time.Since(at) < flowIdle {
			inFlight++
		}
	}
	f.mu.Unlock()
	return fmt.Sprintf("PONG outstanding=%d,x0=%.3f,recent_ms=2", inFlight, float64(inFlight)/float64(f.Capacity))
}
