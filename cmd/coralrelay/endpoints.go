package main

import (
	"sync"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/discovery"
	"coralrelay/internal/dispatch"
	"coralrelay/internal/mutation"
	"coralrelay/internal/udp"
	"coralrelay/internal/upstream"
)

// endpointUpdater passes updates of the endpoint list on, first to the pool and then to the event loop,
// so that the pool has the address of each endpoint that the event loop uses. It runs on the watcher's
// goroutine.
type endpointUpdater struct {
	pool              *upstream.Pool
	eventLoop         *dispatch.EventLoop
	udpListeners      udp.Listeners // nil if UDP is disabled
	firstListReceived chan struct{} // closed when discovery has sent a list or a delta
	firstListOnce     sync.Once
	// onEndpointCount is called with the number of listed endpoints before the event loop uses any of them.
	onEndpointCount func(n int)
}

// UpdateEndpoints passes on one update: a complete list from discovery or from the configuration, a
// delta, or the failure of a call or watch of discovery.
func (e *endpointUpdater) UpdateEndpoints(update discovery.Update) {
	if mutation.Enabled("drain") {
		for i := range update.Endpoints {
			if update.Endpoints[i].State == balance.Draining {
				update.Endpoints[i].State = balance.Ready
			}
		}
	}
	if update.Kind != balance.ListFailed {
		e.pool.Update(update.Kind != balance.ListDelta, update.Endpoints, time.Now())
		e.onEndpointCount(e.pool.EndpointCount())
	}
	e.eventLoop.UpdateEndpoints(update.ListUpdate())
	if update.Kind == balance.ListFull || update.Kind == balance.ListDelta {
		e.firstListOnce.Do(func() { close(e.firstListReceived) })
	}
	if e.udpListeners != nil {
		e.udpListeners.EndpointsChanged()
	}
}
