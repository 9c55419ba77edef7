package udp

import (
	"context"
	"encoding/binary"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/net/ipv4"
)

const (
	// timestampSize is that of the time at the end of each datagram: nanoseconds since 1970,
	// big endian.
	timestampSize = 8
	// fullSpeedBurst is how many datagrams of one flow a sender writes at once, if it has no rate.
	fullSpeedBurst = 16

	receiveBuffer = 8 << 20 // bytes
	sendBuffer    = 4 << 20 // bytes
)

// receiver takes what arrives at a server's port. Its goroutine ends with the context.
type receiver struct {
	conn     *net.UDPConn
	received atomic.Int64 // datagrams

	mu     sync.Mutex
	delays *hdrhistogram.Histogram // microseconds from a datagram's timestamp; nil for none
}

func newReceiver(ctx context.Context, addr string) (*receiver, error) {
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(parsed))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(receiveBuffer)
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	r := &receiver{conn: conn}
	go r.readLoop()
	return r, nil
}

// readLoop takes datagrams until the socket is closed.
func (r *receiver) readLoop() {
	packets := ipv4.NewPacketConn(r.conn)
	messages := make([]ipv4.Message, 256)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, 512)}
	}
	for {
		count, err := packets.ReadBatch(messages, 0)
		if err != nil {
			return
		}
		r.received.Add(int64(count))
		r.addDelays(messages[:count])
	}
}

// addDelays notes the delay of each datagram, if delays are recorded now.
func (r *receiver) addDelays(messages []ipv4.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.delays == nil {
		return
	}
	now := time.Now().UnixNano()
	for _, message := range messages {
		// The timestamp is at the end, whatever header came in front.
		at := message.N - timestampSize
		if at < 0 {
			continue
		}
		sentAt := int64(binary.BigEndian.Uint64(message.Buffers[0][at:message.N]))
		_ = r.delays.RecordValue(max(0, now-sentAt)/1000 + 1)
	}
}

// recordDelays has delays noted from now on, or no more, and returns what was noted before.
func (r *receiver) recordDelays(on bool) *hdrhistogram.Histogram {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.delays
	r.delays = nil
	if on {
		r.delays = hdrhistogram.New(1, 10_000_000, 3)
	}
	return before
}

// sender sends for a share of the flows.
type sender struct{ flows []*ipv4.PacketConn }

// newSenders opens the sockets of all flows and spreads them over count senders. They are closed
// with the context.
func newSenders(ctx context.Context, to string, count int) ([]sender, error) {
	senders := make([]sender, count)
	for i := range senderFlows {
		dialer := net.Dialer{LocalAddr: &net.UDPAddr{IP: net.IPv4(127, 0, 2, byte(i+1))}}
		conn, err := dialer.DialContext(ctx, "udp", to)
		if err != nil {
			return nil, err
		}
		context.AfterFunc(ctx, func() { _ = conn.Close() })
		socket := conn.(*net.UDPConn)
		_ = socket.SetWriteBuffer(sendBuffer)
		s := &senders[i%count]
		s.flows = append(s.flows, ipv4.NewPacketConn(socket))
	}
	return senders, nil
}

// sendOneEach sends a datagram of each flow, without a timestamp, and returns how many were sent.
func (s sender) sendOneEach() (sent int) {
	for _, flow := range s.flows {
		count, _ := flow.WriteBatch([]ipv4.Message{{Buffers: [][]byte{make([]byte, payloadSize)}}}, 0)
		sent += max(count, 0)
	}
	return sent
}

// send sends bursts of one flow after the other until ctx ends: as fast as it goes if rate is 0,
// or so many datagrams a second.
func (s sender) send(ctx context.Context, rate float64) {
	burst := fullSpeedBurst
	if rate > 0 {
		burst = 1
	}
	messages := make([]ipv4.Message, burst)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, payloadSize)}
	}
	begunAt, sent := time.Now(), 0
	for i := 0; ctx.Err() == nil; i++ {
		if rate > 0 {
			time.Sleep(time.Until(begunAt.Add(time.Duration(float64(sent) / rate * float64(time.Second)))))
		}
		now := uint64(time.Now().UnixNano())
		for _, message := range messages {
			binary.BigEndian.PutUint64(message.Buffers[0][payloadSize-timestampSize:], now)
		}
		count, err := s.flows[i%len(s.flows)].WriteBatch(messages, 0)
		if err != nil && !errors.Is(err, syscall.ECONNREFUSED) && ctx.Err() != nil {
			return
		}
		sent += max(count, 0)
	}
}
