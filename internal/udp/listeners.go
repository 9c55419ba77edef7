package udp

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
)

// Listeners are several listeners at one address, one for each core. The kernel distributes flows
// over their sockets and delivers all datagrams of a flow to the same socket. The listeners share
// only the dispatcher and the endpoints, so that cores don't contend for a listener's mutex. Each
// listener has an equal part of every limit.
type Listeners []*Listener

// Open opens count listeners at one address. The limits in options apply to all of them together.
// Open returns an error if the address is unspecified, in use or not an address of this machine.
func Open(options Options, count int, dispatcher Dispatcher, endpoints Endpoints) (Listeners, error) {
	if !options.Listen.IsValid() || options.Listen.Addr().IsUnspecified() {
		return nil, fmt.Errorf("udp: listen on %v: replies need a specific source address", options.Listen)
	}
	conns, err := listenUDP(options.Listen, count)
	if err != nil {
		return nil, fmt.Errorf("udp: %w", err)
	}
	var listeners Listeners
	for i, conn := range conns {
		listener := newListener(options.divide(count), conn, dispatcher, endpoints)
		if count > 1 {
			listener.idPrefix = fmt.Sprintf("u%d.", i)
		}
		listener.sourcePorts = newSourcePorts(i, count)
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

// Addr returns the address that the listeners receive on.
func (ls Listeners) Addr() netip.AddrPort { return ls[0].addr }

// EndpointsChanged calls Listener.EndpointsChanged on each listener.
func (ls Listeners) EndpointsChanged() {
	for _, listener := range ls {
		listener.EndpointsChanged()
	}
}

// Serve runs all listeners until ctx ends, and then logs the sums of their counts.
func (ls Listeners) Serve(ctx context.Context) {
	var wg sync.WaitGroup
	for _, listener := range ls {
		wg.Go(func() { listener.Serve(ctx) })
	}
	wg.Wait()
	ls.logCounts()
}

// logCounts logs the sums of all counts. Every attribute must be a number, because the scenarios
// parse all attributes of this line as counts.
func (ls Listeners) logCounts() {
	var total Counts
	waiting := 0
	for _, listener := range ls {
		waiting += listener.options.QueueBudget.Count - listener.queueBudget.Count
		total.add(&listener.Counts)
	}
	attributes := []any{"waiting", waiting}
	for _, count := range total.named() {
		attributes = append(attributes, count.name, count.value.Load())
	}
	slog.Info("udp ended", attributes...)
}
