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

// endpointUpdater passes a list of endpoints on: first the addresses, then to the event loop. It is
// called by the watcher's goroutine.
type endpointUpdater struct {
	pool              *upstream.Pool
	eventLoop         *dispatch.EventLoop
	udpListeners      udp.Listeners // nil where UDP is off
	firstListReceived chan struct{} // closed once discovery has sent a list or a change to one
	firstListOnce     sync.Once
	// onEndpointCount is called with how many endpoints are listed, before any of them is used.
	onEndpointCount func(n int)
}

// UpdateEndpoints passes one list or change on.
func (f *endpointUpdater) UpdateEndpoints(u discovery.Update) {
	if mutation.Enabled("drain") {
		for i := range u.Endpoints {
			if u.Endpoints[i].State == balance.Draining {
				u.Endpoints[i].State = balance.Ready
			}
		}
	}
	if u.Kind != balance.ListFailed {
		f.pool.Update(u.Kind != balance.ListDelta, u.Endpoints, time.Now())
		f.onEndpointCount(f.pool.EndpointCount())
	}
	f.eventLoop.UpdateEndpoints(u.ListUpdate())
	if u.Kind == balance.ListFull || u.Kind == balance.ListDelta {
		f.firstListOnce.Do(func() { close(f.firstListReceived) })
	}
	if f.udpListeners != nil {
		f.udpListeners.EndpointsChanged()
	}
}
