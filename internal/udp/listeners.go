package udp

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
)

// Listeners share one address, one for each core: the kernel spreads the flows over their
// sockets, all datagrams of a flow to the same one. They share nothing but the dispatcher, so
// that no lock is taken by two cores; each has its part of all limits.
type Listeners []*Listener

// Open opens count listeners at one address, which together keep to the options. It returns an
// error if the address is unspecified, taken or not this machine's.
func Open(options Options, count int, dispatcher Dispatcher, endpoints Endpoints) (Listeners, error) {
	if !options.Listen.IsValid() || options.Listen.Addr().IsUnspecified() {
		return nil, fmt.Errorf("udp: listen on %v: replies need one address to come from", options.Listen)
	}
	conns, err := listenUDP(options.Listen, count)
	if err != nil {
		return nil, fmt.Errorf("udp: %w", err)
	}
	var listeners Listeners
	for i, conn := range conns {
		listener := newListener(options.share(count), conn, dispatcher, endpoints)
		if count > 1 {
			listener.idPrefix = fmt.Sprintf("u%d.", i)
		}
		listener.sourcePorts = newSourcePorts(i, count)
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

// Addr is the address that they listen on.
func (all Listeners) Addr() netip.AddrPort { return all[0].addr }

// EndpointsChanged calls Listener.EndpointsChanged of each.
func (all Listeners) EndpointsChanged() {
	for _, listener := range all {
		listener.EndpointsChanged()
	}
}

// Serve serves all until ctx ends, and then logs the sums of their counts.
func (all Listeners) Serve(ctx context.Context) {
	var wg sync.WaitGroup
	for _, listener := range all {
		wg.Go(func() { listener.Serve(ctx) })
	}
	wg.Wait()
	all.logCounts()
}

// logCounts logs numbers alone: scenarios read all attributes of this line as counts.
func (all Listeners) logCounts() {
	var total Counts
	waiting := 0
	for _, listener := range all {
		waiting += listener.options.QueueBudget.Count - listener.queueBudget.Count
		total.add(&listener.Counts)
	}
	attributes := []any{"waiting", waiting}
	for _, count := range total.named() {
		attributes = append(attributes, count.name, count.value.Load())
	}
	slog.Info("udp ended", attributes...)
}
