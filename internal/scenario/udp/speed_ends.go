package udp

import (
	"context"
	"encoding/binary"
	"errors"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/net/ipv4"
)

// ForwardBare reads batches from one address and writes them to another: what no forwarder in
// Go on these sockets can go below. It runs until ctx ends.
func ForwardBare(ctx context.Context, listen, to string) error {
	runtime.GOMAXPROCS(1)
	in, err := net.ListenPacket("udp", listen)
	if err != nil {
		return err
	}
	out, err := net.Dial("udp", to)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = in.Close(); _ = out.Close() })
	_ = in.(*net.UDPConn).SetReadBuffer(4 << 20)
	_ = out.(*net.UDPConn).SetWriteBuffer(4 << 20)
	from, into := ipv4.NewPacketConn(in), ipv4.NewPacketConn(out.(*net.UDPConn))
	read, written := make([]ipv4.Message, batchSize), make([]ipv4.Message, batchSize)
	for i := range read {
		read[i].Buffers = [][]byte{make([]byte, 65507)}
		written[i].Buffers = make([][]byte, 1)
	}
	for {
		n, err := from.ReadBatch(read, 0)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		for i := range read[:n] {
			written[i].Buffers[0] = read[i].Buffers[0][:read[i].N]
		}
		for list := written[:n]; len(list) > 0; {
			n, err := into.WriteBatch(list, 0)
			list = list[max(n, 0):]
			if err != nil && len(list) > 0 {
				list = list[1:]
			}
		}
	}
}

// sink takes what arrives at a feed server's port.
type receiver struct {
	conn     *net.UDPConn
	received atomic.Int64
	mu       sync.Mutex
	delay    *hdrhistogram.Histogram // microseconds, from the time that each datagram carries
}

func newReceiver(ctx context.Context, addr string) (*receiver, error) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(8 << 20)
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	s := &receiver{conn: conn}
	go s.readLoop()
	return s, nil
}

func (r *receiver) readLoop() {
	packets := ipv4.NewPacketConn(r.conn)
	messages := make([]ipv4.Message, 256)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, 512)}
	}
	for {
		n, err := packets.ReadBatch(messages, 0)
		if err != nil {
			return // closed
		}
		r.received.Add(int64(n))
		r.mu.Lock()
		if r.delay != nil {
			now := time.Now().UnixNano()
			for _, m := range messages[:n] {
				// The time stands at the end, whatever header came in front.
				if at := m.N - 8; at >= 0 {
					_ = r.delay.RecordValue(max(0, now-int64(binary.BigEndian.Uint64(m.Buffers[0][at:m.N])))/1000 + 1)
				}
			}
		}
		r.mu.Unlock()
	}
}

// listen has delays noted from now on, and returns what was noted before.
func (r *receiver) recordDelays(on bool) *hdrhistogram.Histogram {
	r.mu.Lock()
	defer r.mu.Unlock()
	was := r.delay
	if r.delay = nil; on {
		r.delay = hdrhistogram.New(1, 10_000_000, 3)
	}
	return was
}

// speaker sends for a share of the flows.
type sender struct{ conns []*ipv4.PacketConn }

func newSenders(ctx context.Context, to string, count int) ([]sender, error) {
	list := make([]sender, count)
	for i := range senderFlows {
		conn, err := (&net.Dialer{LocalAddr: &net.UDPAddr{IP: net.IPv4(127, 0, 2, byte(i+1))}}).DialContext(ctx, "udp", to)
		if err != nil {
			return nil, err
		}
		context.AfterFunc(ctx, func() { _ = conn.Close() })
		_ = conn.(*net.UDPConn).SetWriteBuffer(4 << 20)
		list[i%count].conns = append(list[i%count].conns, ipv4.NewPacketConn(conn.(*net.UDPConn)))
	}
	return list, nil
}

// say sends bursts of one flow after the other: as fast as it goes, or so many datagrams
// a second.
func (s sender) send(ctx context.Context, rate float64) {
	burst := 16
	if rate > 0 {
		burst = 1
	}
	messages := make([]ipv4.Message, burst)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, 64)}
	}
	begun, n := time.Now(), 0
	for i := 0; ctx.Err() == nil; i++ {
		if rate > 0 {
			if due := begun.Add(time.Duration(float64(n) / rate * float64(time.Second))); time.Until(due) > 0 {
				time.Sleep(time.Until(due))
			}
		}
		now := uint64(time.Now().UnixNano())
		for _, m := range messages {
			binary.BigEndian.PutUint64(m.Buffers[0][56:], now)
		}
		k, err := s.conns[i%len(s.conns)].WriteBatch(messages, 0)
		if err != nil && !errors.Is(err, syscall.ECONNREFUSED) && ctx.Err() != nil {
			return
		}
		n += max(k, 0)
	}
}
