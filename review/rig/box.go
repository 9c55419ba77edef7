package rig

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"coralrelay/internal/loopback"
)

// BoxOptions describes a box.
type BoxOptions struct {
	Zone     string
	Capacity float64 // the load that it can do when it is warm; a usual connection is a load of 1
	MostOpen int     // connections that it holds at most
	// ColdFrom is the share of its capacity that it starts with. It is warm after Ramp.
	ColdFrom  float64
	Ramp      time.Duration
	GroupCost float64            // load for each group of which it holds any connection
	Refresh   time.Duration      // of what it reports
	Loads     map[string]float64 // of a connection, by class
}

// Box is a feed server that starts cold, holds groups of connections, and reports its load late.
type Box struct {
	BoxOptions
	ID, Addr string

	c        *Case
	listener net.Listener

	mu         sync.Mutex
	startedAt  time.Time // zero for long ago
	conns      map[net.Conn]bool
	load       float64
	open       int
	groups     map[string]int // open connections by group
	arrivals   []Arrival      // since its last start
	report     string
	reportedAt time.Time
}

// Arrival is a first line that reached a box.
type Arrival struct {
	At    time.Time
	Class string
}

// NewBox starts a box.
func NewBox(c *Case, id string, options BoxOptions) (*Box, error) {
	// The port is below those that the system gives to other connections, so that it is still free when the
	// box starts again.
	listener, err := loopback.Listen()
	if err != nil {
		return nil, err
	}
	b := &Box{BoxOptions: options, ID: id, Addr: listener.Addr().String(), c: c, listener: listener,
		conns: map[net.Conn]bool{}, groups: map[string]int{}}
	c.Cleanup(b.Crash)
	go b.accept(listener)
	return b, nil
}

// Entry returns the entry of the box in discovery's list.
func (b *Box) Entry(lifecycle string) Instance {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry := Instance{ID: b.ID, HostPort: b.Addr, Zone: b.Zone, Kind: "std-3c", Lifecycle: lifecycle, Weight: 1}
	if !b.startedAt.IsZero() {
		entry.StartedMs = b.startedAt.UnixMilli()
	}
	return entry
}

// Crash ends the box's process: its connections are reset, and new ones are refused.
func (b *Box) Crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.listener.Close()
	for conn := range b.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

// Restart starts the box again, cold, at the same address.
func (b *Box) Restart() error {
	listener, err := net.Listen("tcp", b.Addr)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listener, b.startedAt, b.arrivals, b.reportedAt = listener, time.Now(), nil, time.Time{}
	b.c.Record("%s starts again, cold", b.ID)
	go b.accept(listener)
	return nil
}

// Share returns the share of its capacity that the box has at a time, and whether it is cold.
func (b *Box) Share(at time.Time) (share float64, isCold bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.share(at)
}

// share is Share for a caller that holds the lock.
func (b *Box) share(at time.Time) (share float64, isCold bool) {
	age := at.Sub(b.startedAt)
	if b.startedAt.IsZero() || age >= b.Ramp {
		return 1, false
	}
	return b.ColdFrom + (1-b.ColdFrom)*age.Seconds()/b.Ramp.Seconds(), true
}

// Arrivals returns the first lines that have reached the box since its last start.
func (b *Box) Arrivals() []Arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Arrival(nil), b.arrivals...)
}

// Describe returns the state of the box in words.
func (b *Box) Describe() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf("%s: %d connections of %d groups, %d first lines since its start, reports %s",
		b.ID, b.open, len(b.groups), len(b.arrivals), b.report)
}

func (b *Box) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[conn] = true
		b.mu.Unlock()
		go b.serve(conn)
	}
}

// serve answers probes and one first line, and then echoes lines.
func (b *Box) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		b.mu.Lock()
		delete(b.conns, conn)
		b.mu.Unlock()
	}()
	reader := bufio.NewReaderSize(conn, 4096)
	end := func() {}
	defer func() { end() }()
	for isOpen := false; ; {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		answer := strings.TrimRight(line, "\r\n")
		switch {
		case isOpen:
		case answer == "PING":
			answer = "PONG"
		case answer == "STATS":
			answer = "PONG " + b.currentReport()
		case strings.HasPrefix(answer, "OPEN "):
			answer, end = b.admit(answer)
			isOpen = answer != "BUSY"
		default:
			answer = "SYNTAX"
		}
		if _, err := fmt.Fprintf(conn, "%s\r\n", answer); err != nil || answer == "BUSY" {
			return
		}
	}
}

// admit takes a first line or turns it away. end is to be called when its connection has ended.
func (b *Box) admit(line string) (answer string, end func()) {
	class, group := Field(line, "c"), Field(line, "g")
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals = append(b.arrivals, Arrival{time.Now(), class})
	if b.open >= b.MostOpen {
		return "BUSY", func() {}
	}
	b.open++
	b.load += b.Loads[class]
	b.groups[group]++
	return fmt.Sprintf("UP %s-%d", b.ID, len(b.arrivals)), func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.open--
		b.load -= b.Loads[class]
		if b.groups[group]--; b.groups[group] == 0 {
			delete(b.groups, group)
		}
	}
}

// currentReport returns the load report, which is renewed once in each Refresh.
func (b *Box) currentReport() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := time.Now(); now.Sub(b.reportedAt) >= b.Refresh {
		share, _ := b.share(now)
		asked := b.load + b.GroupCost*float64(len(b.groups))
		b.report, b.reportedAt = fmt.Sprintf("queue=0,x0=%.3f", asked/(b.Capacity*share)), now
	}
	return b.report
}

// Field returns the value of a name in a first line, or an empty string.
func Field(line, name string) string {
	list := line[strings.LastIndexByte(line, ' ')+1:]
	for pair := range strings.SplitSeq(list, ",") {
		if key, value, _ := strings.Cut(pair, "="); key == name {
			return value
		}
	}
	return ""
}
