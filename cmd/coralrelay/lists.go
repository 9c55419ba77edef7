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
type fleet struct {
	hops  *upstream.Pool
	core  *dispatch.EventLoop
	udp   udp.Listeners // nil where it is off
	known chan struct{} // closed once discovery has said who is there
	once  sync.Once
	// listed is told how many next hops are listed, before any of them is asked for.
	listed func(n int)
}

func (f *fleet) UpdateEndpoints(u discovery.Update) {
	if mutation.Enabled("drain") {
		for i := range u.Endpoints {
			if u.Endpoints[i].State == balance.Draining {
				u.Endpoints[i].State = balance.Ready
			}
		}
	}
	if u.Kind != balance.ListFailed {
		f.hops.Update(u.Kind != balance.ListDelta, u.Endpoints, time.Now())
		f.listed(f.hops.EndpointCount())
	}
	f.core.UpdateEndpoints(u.ListUpdate())
	if u.Kind == balance.ListFull || u.Kind == balance.ListDelta {
		f.once.Do(func() { close(f.known) })
	}
	if f.udp != nil {
		f.udp.Look()
	}
}
