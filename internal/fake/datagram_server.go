package fake

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// Datagram is a datagram that a server received. Its text starts with "FLOW SEQUENCE".
type Datagram struct {
	Server, Node, Flow, Seq string
	At                      time.Time
}

const (
	datagramSizeLimit  = 2048    // in bytes
	datagramReadBuffer = 4 << 20 // in bytes
	flowIdleTimeout    = 500 * time.Millisecond
)

// flows counts the flows that sent a datagram within flowIdleTimeout, for the load report.
type flows struct {
	mu      sync.Mutex
	lastAt  map[string]time.Time // by flow
	sweptAt time.Time
}

// touch records that a flow has sent a datagram.
func (f *flows) touch(flow string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lastAt == nil {
		f.lastAt = map[string]time.Time{}
	}
	f.lastAt[flow] = now
}

// count returns the number of flows. It first removes idle ones, at most ten times per
// flowIdleTimeout.
func (f *flows) count(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.sweptAt) > flowIdleTimeout/10 {
		f.sweptAt = now
		for flow, at := range f.lastAt {
			if now.Sub(at) > flowIdleTimeout {
				delete(f.lastAt, flow)
			}
		}
	}
	return len(f.lastAt)
}

// listenUDP listens for datagrams on an address, and reports and echoes them until ctx ends.
func (s *Server) listenUDP(ctx context.Context, node, addr string) error {
	udpAddr, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp", udpAddr)
	if err != nil {
		return err
	}
	_ = conn.SetReadBuffer(datagramReadBuffer)
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	s.wg.Go(func() { s.serveDatagrams(node, conn) })
	return nil
}

// serveDatagrams reports and echoes datagrams until conn is closed.
func (s *Server) serveDatagrams(node string, conn *net.UDPConn) {
	buffer := make([]byte, datagramSizeLimit)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		now := time.Now()
		datagram := buffer[:n]
		flow, rest, _ := strings.Cut(string(datagram[proxyHeaderLen(datagram):]), " ")
		seq, _, _ := strings.Cut(rest, " ")
		s.flows.touch(flow, now)
		s.Datagrams(Datagram{s.Name, node, flow, seq, now})
		if s.ignoresDatagrams.Load() {
			continue
		}
		_, _ = conn.WriteToUDPAddrPort(datagram, from) // including its PROXY header, if any
		if s.DelayedReplyShare > 0 && rand.Float64() < s.DelayedReplyShare {
			echoLater(conn, bytes.Clone(datagram), from)
		}
	}
}

// echoLater echoes a datagram a second time after 1.2 to 4 seconds.
func echoLater(conn *net.UDPConn, datagram []byte, to netip.AddrPort) {
	delay := time.Duration((1.2 + 2.8*rand.Float64()) * float64(time.Second))
	time.AfterFunc(delay, func() {
		_, _ = conn.WriteToUDPAddrPort(datagram, to)
	})
}

// proxyHeaderLen returns the length of a datagram's PROXY protocol v2 header, or 0 if it has none.
func proxyHeaderLen(datagram []byte) int {
	const (
		signature = "\r\n\r\n\x00\r\nQUIT\n"
		fixedLen  = 16
	)
	if len(datagram) < fixedLen || string(datagram[:len(signature)]) != signature {
		return 0
	}
	return min(len(datagram), fixedLen+int(datagram[14])<<8+int(datagram[15]))
}
