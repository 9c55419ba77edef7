package rig

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"

	"coralrelay/internal/operator"
	"coralrelay/internal/standin"
)

const (
	// speedFlows send at once, each from a socket of its own.
	speedFlows = 64
	// speedBatch is how many datagrams a system call takes, in the loop as in the node.
	speedBatch = 64
	// speedPhase is how long each measurement takes.
	speedPhase = time.Second
	// speedRounds are repeats, of which the median counts.
	speedRounds = 5
	// pacedRate is how many datagrams a second are sent where their delay is measured.
	pacedRate = 10_000
	// atLeast is the share of the bare loop's datagrams that the node is to forward.
	atLeast = 0.8
)

// Bare reads batches from one address and writes them to another: what no forwarder in
// Go on these sockets can go below. It runs until ctx ends.
func Bare(ctx context.Context, listen, to string) error {
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
	read, written := make([]ipv4.Message, speedBatch), make([]ipv4.Message, speedBatch)
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
type sink struct {
	conn  *net.UDPConn
	came  atomic.Int64
	mu    sync.Mutex
	delay *hdrhistogram.Histogram // microseconds, from the time that each datagram carries
}

func newSink(ctx context.Context, addr string) (*sink, error) {
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
	s := &sink{conn: conn}
	go s.take()
	return s, nil
}

func (s *sink) take() {
	packets := ipv4.NewPacketConn(s.conn)
	messages := make([]ipv4.Message, 256)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, 512)}
	}
	for {
		n, err := packets.ReadBatch(messages, 0)
		if err != nil {
			return // closed
		}
		s.came.Add(int64(n))
		s.mu.Lock()
		if s.delay != nil {
			now := time.Now().UnixNano()
			for _, m := range messages[:n] {
				// The time stands at the end, whatever header came in front.
				if at := m.N - 8; at >= 0 {
					_ = s.delay.RecordValue(max(0, now-int64(binary.BigEndian.Uint64(m.Buffers[0][at:m.N])))/1000 + 1)
				}
			}
		}
		s.mu.Unlock()
	}
}

// listen has delays noted from now on, and returns what was noted before.
func (s *sink) listen(on bool) *hdrhistogram.Histogram {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.delay
	if s.delay = nil; on {
		s.delay = hdrhistogram.New(1, 10_000_000, 3)
	}
	return was
}

// speaker sends for a share of the flows.
type speaker struct{ conns []*ipv4.PacketConn }

func newSpeakers(ctx context.Context, to string, count int) ([]speaker, error) {
	list := make([]speaker, count)
	for i := range speedFlows {
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
func (s speaker) say(ctx context.Context, rate float64) {
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

// way is one forwarder.
type way struct {
	name, mode string // a bare loop without a mode
	proxy      bool
}

var ways = []way{{"bare loop", "", false}, {"shared sockets", "shared", false}, {"shared sockets, header", "shared", true}, {"a socket each", "flow", false}}

// UDPSpeed measures what forwarding costs: a bare loop of reads and writes, and the node
// with a socket for each next hop and for each flow, in turn and several times, as the
// machine's own pace changes. The loop has one processor, the node as many as it is given,
// and all others are the rig's.
func UDPSpeed(ctx context.Context, o UDPOptions) (*Result, error) {
	r := NewResult("udp speed", o.Seed)
	r.Scaled = "senders, forwarder and receiver on one machine; datagrams of 64 bytes"
	o.Cores = max(o.Cores, 1)
	apart, restore := pinned(o.Cores)
	defer restore()
	if !apart {
		r.Scaled += "; too few processors to keep one for the forwarder"
	}
	dir, err := os.MkdirTemp("", "coralrig-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	figures := map[string][]float64{}
	for round := range speedRounds {
		for i, w := range ways {
			rate, delay, err := speedOf(ctx, r, w, o, filepath.Join(dir, fmt.Sprintf("%d.%d", round, i)), apart)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", w.name, err)
			}
			figures[w.name+": forwarded a second"] = append(figures[w.name+": forwarded a second"], rate)
			for _, q := range []float64{50, 99} {
				name := fmt.Sprintf("%s: delay p%g us", w.name, q)
				figures[name] = append(figures[name], float64(delay.ValueAtQuantile(q)))
			}
			if i > 0 {
				base := figures[ways[0].name+": forwarded a second"][round]
				figures[w.name+": against the bare loop"] = append(figures[w.name+": against the bare loop"], rate/max(1, base))
			}
			if o.Progress != nil {
				fmt.Fprintf(o.Progress, "\rround %d of %d  %-24s %8.0f a second ", round+1, speedRounds, w.name, rate)
			}
		}
	}
	for name, list := range figures {
		slices.Sort(list)
		r.Set(name, list[len(list)/2])
	}
	r.Least("shared sockets: against the bare loop", atLeast)
	return r, nil
}

// pinned keeps this process off the first processors, two for each core of the node's, as
// two may be one core's, if there are enough. restore undoes it.
func pinned(cores int) (ok bool, restore func()) {
	var all, rest unix.CPUSet
	if unix.SchedGetaffinity(0, &all) != nil || all.Count() < 2*cores+2 {
		return false, func() {}
	}
	rest = all
	for i := range 2 * cores {
		rest.Clear(i)
	}
	everywhere := func(set *unix.CPUSet) {
		tasks, _ := os.ReadDir("/proc/self/task")
		for _, t := range tasks {
			if tid, err := strconv.Atoi(t.Name()); err == nil {
				_ = unix.SchedSetaffinity(tid, set)
			}
		}
	}
	everywhere(&rest)
	return all.IsSet(0), func() { everywhere(&all) }
}

// alone runs what starts a process, so that it has the first processors, one of each two.
func alone(apart bool, cores int, start func() error) error {
	if !apart {
		return start()
	}
	runtime.LockOSThread() // a child has the processors of the thread that starts it
	defer runtime.UnlockOSThread()
	var was, some unix.CPUSet
	if err := unix.SchedGetaffinity(0, &was); err != nil {
		return err
	}
	for i := range cores {
		some.Set(2 * i)
	}
	if err := unix.SchedSetaffinity(0, &some); err != nil {
		return err
	}
	defer func() { _ = unix.SchedSetaffinity(0, &was) }()
	return start()
}

// speedOf measures one way.
func speedOf(ctx context.Context, r *Result, w way, o UDPOptions, dir string, apart bool) (rate float64, delay *hdrhistogram.Histogram, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	roster := standin.NewRoster()
	defer roster.Close()
	server := standin.NewServer(standin.ServerOptions{Name: "s0", Feed: standin.NewFeed(1, 1, 1), Witness: quiet{r}, Capacity: 1_000_000})
	addrs, err := server.Start([]string{"n0"})
	if err != nil {
		return 0, nil, err
	}
	defer server.Kill()
	roster.Set("s0", standin.Active, time.Time{}, addrs)
	in, err := newSink(ctx, addrs["n0"])
	if err != nil {
		return 0, nil, err
	}
	listen, err := reserve()
	if err != nil {
		return 0, nil, err
	}
	if w.mode == "" {
		self, err := os.Executable()
		if err != nil {
			return 0, nil, err
		}
		cmd := exec.CommandContext(ctx, self, "bare", listen, addrs["n0"])
		if err := alone(apart, 1, cmd.Start); err != nil {
			return 0, nil, err
		}
		defer func() { cancel(); _ = cmd.Wait() }()
	} else {
		discovery, err := roster.Listen("n0")
		if err != nil {
			return 0, nil, err
		}
		own := operator.Default()
		own.UDP.Listen, own.UDP.Mode, own.UDP.Proxy = listen, w.mode, w.proxy
		node, err := NewNode(NodeOptions{Binary: o.Binary, Name: "n0", Dir: dir, Discovery: discovery, Nodes: 1, Own: &own, Cores: o.Cores})
		if err != nil {
			return 0, nil, err
		}
		if err := alone(apart, o.Cores, func() error { return node.Start(ctx) }); err != nil {
			return 0, nil, err
		}
		defer node.Kill()
	}
	speakers, err := newSpeakers(ctx, listen, 2*o.Cores)
	if err != nil {
		return 0, nil, err
	}
	if err := settled(ctx, speakers, in); err != nil {
		return 0, nil, err
	}
	say := func(rate float64) {
		speaking, stop := context.WithTimeout(ctx, speedPhase)
		defer stop()
		var wg sync.WaitGroup
		for _, s := range speakers {
			wg.Go(func() { s.say(speaking, rate/float64(len(speakers))) })
		}
		wg.Wait()
	}
	in.listen(true)
	say(pacedRate)
	delay = in.listen(false)
	came, begun := in.came.Load(), time.Now()
	say(0)
	standin.Sleep(ctx, 20*time.Millisecond)
	return float64(in.came.Load()-came) / time.Since(begun).Seconds(), delay, ctx.Err()
}

// settled waits until every flow has its place.
func settled(ctx context.Context, speakers []speaker, in *sink) error {
	for begun := time.Now(); ; {
		before, sent := in.came.Load(), 0
		for _, s := range speakers {
			for _, c := range s.conns {
				n, _ := c.WriteBatch([]ipv4.Message{{Buffers: [][]byte{make([]byte, 64)}}}, 0)
				sent += max(n, 0)
			}
		}
		if !standin.Sleep(ctx, 200*time.Millisecond) {
			return ctx.Err()
		}
		if sent == speedFlows && in.came.Load()-before >= speedFlows {
			return nil
		}
		if time.Since(begun) > 10*time.Second {
			return fmt.Errorf("of %d flows %d go through", speedFlows, in.came.Load()-before)
		}
	}
}
