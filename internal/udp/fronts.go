package udp

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"

	"coralrelay/internal/flowtable"
)

// Fronts are several at one address, where there are cores for them: the kernel deals
// flows among their sockets, always a flow to the same. They share nothing but the Core,
// so no lock is between two cores; each has its part of all bounds.
type Listeners []*Listener

// Open listens with n fronts, which together keep to the options.
func Open(o Options, n int, core Dispatcher, hops Endpoints) (Listeners, error) {
	if !o.Listen.IsValid() || o.Listen.Addr().IsUnspecified() {
		return nil, fmt.Errorf("udp: listen on %v: replies need one address to come from", o.Listen)
	}
	conns, err := openSockets(o.Listen, n)
	if err != nil {
		return nil, fmt.Errorf("udp: %w", err)
	}
	var all Listeners
	for i, conn := range conns {
		f := newListener(o.share(n), conn, core, hops)
		if n > 1 {
			f.idPrefix = fmt.Sprintf("u%d.", i)
		}
		f.sourcePorts = newSourcePorts(i, n)
		all = append(all, f)
	}
	return all, nil
}

// part is one front's part of n. Those that come from one source are dealt like all others.
func (o Options) share(n int) Options {
	share := func(x int) int { return max(1, (x+n-1)/n) }
	o.Table.Entries, o.Sockets = share(o.Table.Entries), max(1, o.Sockets/n)
	o.QueueBudget.Count, o.QueueBudget.Bytes = share(o.QueueBudget.Count), share(o.QueueBudget.Bytes)
	o.Sources.Rate, o.Sources.Burst = o.Sources.Rate/float64(n), max(1, o.Sources.Burst/float64(n))
	for _, p := range []*flowtable.Pacer{&o.NewFlows, &o.ReplacedFlows} {
		p.Rate, p.Burst = p.Rate/float64(n), max(1, p.Burst/float64(n))
	}
	return o
}

// listen opens so many sockets at one address.
func openSockets(at netip.AddrPort, n int) (conns []*net.UDPConn, err error) {
	// One that shares with nobody at first: those that do share with any other process of
	// this user's that does, and nobody would be told that the address is taken.
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	if n == 1 {
		conns = append(conns, conn)
	} else {
		at = conn.LocalAddr().(*net.UDPAddr).AddrPort()
		_ = conn.Close()
	}
	shares := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		if inner := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		}); inner != nil {
			return inner
		}
		return err
	}}
	for len(conns) < n {
		conn, err := shares.ListenPacket(context.Background(), "udp", at.String())
		if err != nil {
			for _, c := range conns {
				_ = c.Close()
			}
			return nil, err
		}
		conns = append(conns, conn.(*net.UDPConn))
	}
	for _, c := range conns {
		_ = c.SetReadBuffer(4 << 20) // as much of it as the machine allows
	}
	return conns, nil
}

// Addr is where they listen.
func (all Listeners) Addr() netip.AddrPort { return all[0].addr }

// Look is Front.Look for each.
func (all Listeners) EndpointsChanged() {
	for _, f := range all {
		f.EndpointsChanged()
	}
}

// Serve serves all until ctx ends, and then logs what became of their datagrams.
func (all Listeners) Serve(ctx context.Context) {
	var wg sync.WaitGroup
	for _, f := range all {
		wg.Go(func() { f.Serve(ctx) })
	}
	wg.Wait()
	var sum Counts
	waiting := 0
	for _, f := range all {
		waiting += f.options.QueueBudget.Count - f.queueBudget.Count
		into := sum.named()
		for i, c := range f.Counts.named() {
			into[i].value.Add(c.value.Load())
		}
	}
	values := []any{"waiting", waiting}
	for _, c := range sum.named() {
		values = append(values, c.name, c.value.Load())
	}
	slog.Info("udp ended", values...)
}

type namedCount struct {
	name  string
	value *atomic.Int64
}

// all names the counts.
func (c *Counts) named() []namedCount {
	return []namedCount{{"in", &c.In}, {"forwarded", &c.Forwarded}, {"replies", &c.Replies}, {"stray", &c.UnmatchedReplies}, {"full", &c.Full},
		{"limited", &c.Limited}, {"queue", &c.Queue}, {"refused", &c.Refused}, {"unsent", &c.Unsent}, {"gone", &c.Gone},
		{"opened", &c.Opened}, {"expired", &c.Expired}, {"evicted", &c.Evicted}, {"replaced", &c.Replaced}, {"silent", &c.Silent}}
}
