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
	// timestampSize is the size in bytes of the timestamp at the end of each datagram: nanoseconds
	// since 1970, big endian.
	timestampSize = 8
	// unpacedBurst is the number of datagrams that a sender without a rate writes per system call.
	unpacedBurst = 16

	receiveBuffer = 8 << 20 // bytes
	sendBuffer    = 4 << 20 // bytes
)

// receiver counts the datagrams that arrive at a server's address. Its goroutine ends with the
// context passed to newReceiver.
type receiver struct {
	conn     *net.UDPConn
	received atomic.Int64 // datagrams

	mu     sync.Mutex
	delays *hdrhistogram.Histogram // in microseconds; nil while not recording
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

// readLoop reads datagrams until the socket is closed.
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

// addDelays records the time since each datagram's timestamp, if recording is enabled.
func (r *receiver) addDelays(messages []ipv4.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.delays == nil {
		return
	}
	now := time.Now().UnixNano()
	for _, message := range messages {
		// The timestamp is at the end, because a header may precede the payload.
		timestampOffset := message.N - timestampSize
		if timestampOffset < 0 {
			continue
		}
		sentAt := int64(binary.BigEndian.Uint64(message.Buffers[0][timestampOffset:message.N]))
		_ = r.delays.RecordValue(max(0, now-sentAt)/1000 + 1)
	}
}

// setDelayRecording enables or disables the recording of delays. It returns the delays recorded so
// far and discards them; nil if recording was disabled.
func (r *receiver) setDelayRecording(enabled bool) *hdrhistogram.Histogram {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.delays
	r.delays = nil
	if enabled {
		r.delays = hdrhistogram.New(1, 10_000_000, 3)
	}
	return previous
}

// sender sends the datagrams of some of the flows.
type sender struct{ flows []*ipv4.PacketConn }

// newSenders opens the sockets of all flows and distributes them over count senders. The sockets are
// closed when ctx ends.
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

// sendOneDatagramPerFlow sends one datagram on each flow, without a timestamp, and returns how many
// were sent.
func (s sender) sendOneDatagramPerFlow() (sent int) {
	for _, flow := range s.flows {
		count, _ := flow.WriteBatch([]ipv4.Message{{Buffers: [][]byte{make([]byte, payloadSize)}}}, 0)
		sent += max(count, 0)
	}
	return sent
}

// send sends datagrams on its flows in turn until ctx ends: rate datagrams per second, or bursts as
// fast as possible if rate is 0.
func (s sender) send(ctx context.Context, rate float64) {
	burst := unpacedBurst
	if rate > 0 {
		burst = 1
	}
	messages := make([]ipv4.Message, burst)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, payloadSize)}
	}
	startedAt, sent := time.Now(), 0
	for i := 0; ctx.Err() == nil; i++ {
		if rate > 0 {
			time.Sleep(time.Until(startedAt.Add(time.Duration(float64(sent) / rate * float64(time.Second)))))
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
