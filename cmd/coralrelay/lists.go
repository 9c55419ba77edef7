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

// fleet passes a list on: first the addresses, then the decision.
type endpointUpdater struct {
	pool              *upstream.Pool
	eventLoop         *dispatch.EventLoop
	udpListeners      udp.Listeners // nil where it is off
	firstListReceived chan struct{} // closed once discovery has said who is there
	firstListOnce     sync.Once
	// listed is told how many next hops are listed, before any of them is asked for.
	onEndpointCount func(n int)
}

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
