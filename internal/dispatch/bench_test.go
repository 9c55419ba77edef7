package dispatch

import (
	"strconv"
	"testing"
	"time"

	"coralrelay/balance"
)

// immediate answers every probe and takes every item at once.
type immediateEndpoints struct {
	loop        *EventLoop
	established chan struct{}
}

func (e *immediateEndpoints) StartAttempt(placement Placement, attempt int, server string, _ time.Time) {
	go func() {
		e.loop.AttemptEstablished(placement, attempt, server, time.Millisecond)
		e.established <- struct{}{}
	}()
}

func (e *immediateEndpoints) Probe(server string) {
	load := balance.EmptyLoadReport
	load.Utilization, load.Inflight = 0.1, 1e6 // one more connection weighs nothing
	go e.loop.ProbeEnded(server, balance.OK, time.Millisecond, load)
}

func (e *immediateEndpoints) Subscribe() {}

// BenchmarkPlacement is what one placement and its end cost.
func BenchmarkPlacement(b *testing.B) {
	endpoints := &immediateEndpoints{established: make(chan struct{}, 1)}
	loop := startLoop(b, endpoints, endpoints)
	endpoints.loop = loop
	loop.UpdateEndpoints(balance.ListUpdate{Kind: balance.ListCached, Entries: []balance.ServerEntry{{ID: "s1"}, {ID: "s2"}}})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		placement := &fakePlacement{Request: Request{ID: strconv.Itoa(i), Class: "feed", Deadline: time.Now().Add(testTimeout)}, done: make(chan struct{})}
		loop.Submit(placement, endpoints)
		<-endpoints.established
		loop.PlacementEnded(placement, balance.OK)
	}
}
