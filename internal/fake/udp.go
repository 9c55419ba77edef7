package fake

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Datagram is one as a feed server saw it: FLOW SEQ, and more.
type Datagram struct {
	Server, Node, Flow, Seq string
	At                      time.Time
}

// flows counts who has sent of late, for the load that is reported.
type flows struct {
	mu   sync.Mutex
	last map[string]time.Time
	swep time.Time
}

// beaconPort is where a Beacon sends from.
const beaconPort = 40000

const lively = 500 * time.Millisecond

func (f *flows) heard(flow string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.last == nil {
		f.last = map[string]time.Time{}
	}
	f.last[flow] = now
}

func (f *flows) count(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.swep) > lively/10 {
		f.swep = now
		for flow, at := range f.last {
			if now.Sub(at) > lively {
				delete(f.last, flow)
			}
		}
	}
	return len(f.last)
}

// listenUDP takes datagrams and sends each back under the server's name.
func (s *Server) listenUDP(ctx context.Context, node, addr string) error {
	at, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp", at)
	if err != nil {
		return fmt.Errorf("server %s: %w", s.Name, err)
	}
	_ = conn.SetReadBuffer(4 << 20)
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	s.wg.Go(func() {
		b := make([]byte, 2048)
		for {
			n, from, err := conn.ReadFromUDPAddrPort(b)
			if err != nil {
				return
			}
			now := time.Now()
			flow, rest, _ := strings.Cut(string(b[header(b[:n]):n]), " ")
			seq, _, _ := strings.Cut(rest, " ")
			s.flows.heard(flow, now)
			s.Datagrams(Datagram{s.Name, node, flow, seq, now})
			if s.hung.Load() {
				continue
			}
			_, _ = conn.WriteToUDPAddrPort(b[:n], from) // with its header, if it has one
			if s.DelayedReplyShare > 0 && rand.Float64() < s.DelayedReplyShare {
				again := bytes.Clone(b[:n])
				time.AfterFunc(time.Duration((1.2+2.8*rand.Float64())*float64(time.Second)), func() {
					_, _ = conn.WriteToUDPAddrPort(again, from)
				})
			}
		}
	})
	return nil
}

// header is how long a datagram's PROXY v2 header is, 0 if it has none.
func header(d []byte) int {
	if len(d) < 16 || string(d[:12]) != "\r\n\r\n\x00\r\nQUIT\n" {
		return 0
	}
	return min(len(d), 16+int(d[14])<<8+int(d[15]))
}

// Beacon is one flow from an address of its own, so that no other flow is ever taken
// for it: it sends so many datagrams, each when the one before was
// answered or has waited. It returns how many were answered, and whatever else came.
func ProbeFlow(ctx context.Context, to, name string, number uint32, datagrams int, every time.Duration) (answered int, strange []string) {
	from := source(number)
	from.Port = beaconPort // the same client's again when its number comes again
	conn, err := (&net.Dialer{LocalAddr: from}).DialContext(ctx, "udp", to)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = conn.Close() }()
	b := make([]byte, 2048)
	for seq := range datagrams {
		text := fmt.Sprintf("%s %d status ok", name, seq)
		if _, err := conn.Write([]byte(text)); err != nil {
			continue
		}
		_ = conn.SetReadDeadline(time.Now().Add(every))
		begun := time.Now()
		for {
			n, err := conn.Read(b)
			if err != nil {
				break
			}
			if string(b[:n]) == text {
				answered++
				Sleep(ctx, every-time.Since(begun))
				break
			}
			if !strings.HasPrefix(string(b[:n]), name+" ") {
				strange = append(strange, string(b[:n]))
			}
		}
	}
	return answered, strange
}

// Steady is one flow that sends until ctx ends, and counts what it sent and what was
// answered.
func RunSteadyFlow(ctx context.Context, to, name string, number uint32, every time.Duration, sent, came *atomic.Int64) {
	conn, err := (&net.Dialer{LocalAddr: source(number)}).DialContext(ctx, "udp", to)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	b := make([]byte, 256)
	for seq := 0; ctx.Err() == nil; seq++ {
		begun := time.Now()
		text := fmt.Sprintf("%s %d steady", name, seq)
		if _, err := conn.Write([]byte(text)); err != nil {
			continue
		}
		sent.Add(1)
		_ = conn.SetReadDeadline(begun.Add(every))
		for {
			n, err := conn.Read(b)
			if err != nil {
				break
			}
			if string(b[:n]) == text {
				came.Add(1)
				break
			}
		}
		Sleep(ctx, every-time.Since(begun))
	}
}

// Flood opens a flow for each datagram, from ever other sources or from one, as fast
// as it can until ctx ends. It returns how many it sent.
func Flood(ctx context.Context, to, name string, number uint32, spoof bool) (sent int) {
	for ; ctx.Err() == nil; sent++ {
		from := number
		if spoof {
			from += uint32(sent) % (1 << 20)
		}
		conn, err := (&net.Dialer{LocalAddr: source(from)}).DialContext(ctx, "udp", to)
		if err != nil {
			continue
		}
		id := sent
		if !spoof { // a flow is an address and a port, which may come again
			id = conn.LocalAddr().(*net.UDPAddr).Port
		}
		_, _ = fmt.Fprintf(conn, "%s%d 0", name, id)
		_ = conn.Close()
	}
	return sent
}

// source is one of the loopback addresses, another for each number.
func source(number uint32) *net.UDPAddr {
	return &net.UDPAddr{IP: net.IPv4(127, 1+byte(number>>16)%250, byte(number>>8), byte(number))}
}
