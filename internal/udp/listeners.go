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
func Open(options Options, count int, dispatcher Dispatcher, endpoints Endpoints) (Listeners, error) {
	if !options.Listen.IsValid() || options.Listen.Addr().IsUnspecified() {
		return nil, fmt.Errorf("udp: listen on %v: replies need one address to come from", options.Listen)
	}
	conns, err := openSockets(options.Listen, count)
	if err != nil {
		return nil, fmt.Errorf("udp: %w", err)
	}
	var listeners Listeners
	for index, conn := range conns {
		listener := newListener(options.share(count), conn, dispatcher, endpoints)
		if count > 1 {
			listener.idPrefix = fmt.Sprintf("u%d.", index)
		}
		listener.sourcePorts = newSourcePorts(index, count)
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

// part is one front's part of n. Those that come from one source are dealt like all others.
func (options Options) share(parts int) Options {
	portion := func(x int) int { return max(1, (x+parts-1)/parts) }
	options.Table.Entries, options.Sockets = portion(options.Table.Entries), max(1, options.Sockets/parts)
	options.QueueBudget.Count, options.QueueBudget.Bytes = portion(options.QueueBudget.Count), portion(options.QueueBudget.Bytes)
	options.Sources.Rate, options.Sources.Burst = options.Sources.Rate/float64(parts), max(1, options.Sources.Burst/float64(parts))
	for _, pacer := range []*flowtable.Pacer{&options.NewFlows, &options.ReplacedFlows} {
		pacer.Rate, pacer.Burst = pacer.Rate/float64(parts), max(1, pacer.Burst/float64(parts))
	}
	return options
}

// listen opens so many sockets at one address.
func openSockets(address netip.AddrPort, count int) (conns []*net.UDPConn, err error) {
	// One that shares with nobody at first: those that do share with any other process of
	// this user's that does, and nobody would be told that the address is taken.
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	if count == 1 {
		conns = append(conns, conn)
	} else {
		address = conn.LocalAddr().(*net.UDPAddr).AddrPort()
		_ = conn.Close()
	}
	reusePort := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		if controlErr := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		}); controlErr != nil {
			return controlErr
		}
		return err
	}}
	for len(conns) < count {
		conn, err := reusePort.ListenPacket(context.Background(), "udp", address.String())
		if err != nil {
			for _, opened := range conns {
				_ = opened.Close()
			}
			return nil, err
		}
		conns = append(conns, conn.(*net.UDPConn))
	}
	for _, opened := range conns {
		_ = opened.SetReadBuffer(4 << 20) // as much of it as the machine allows
	}
	return conns, nil
}

// Addr is where they listen.
func (listeners Listeners) Addr() netip.AddrPort { return listeners[0].addr }

// Look is Front.Look for each.
func (listeners Listeners) EndpointsChanged() {
	for _, listener := range listeners {
		listener.EndpointsChanged()
	}
}

// Serve serves all until ctx ends, and then logs what became of their datagrams.
func (listeners Listeners) Serve(ctx context.Context) {
	var wg sync.WaitGroup
	for _, listener := range listeners {
		wg.Go(func() { listener.Serve(ctx) })
	}
	wg.Wait()
	var total Counts
	waiting := 0
	for _, listener := range listeners {
		waiting += listener.options.QueueBudget.Count - listener.queueBudget.Count
		totals := total.named()
		for i, c := range listener.Counts.named() {
			totals[i].value.Add(c.value.Load())
		}
	}
	values := []any{"waiting", waiting}
	for _, c := range total.named() {
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
