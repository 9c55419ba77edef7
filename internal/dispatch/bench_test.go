package dispatch

import (
	"strconv"
	"testing"
	"time"

	"coralrelay/balance"
)

// immediateEndpoints answers every probe and accepts every attempt without delay.
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
	load.Utilization, load.Inflight = 0.1, 1e6 // so that one more connection adds almost no load
	go e.loop.ProbeEnded(server, balance.OK, time.Millisecond, load)
}

func (e *immediateEndpoints) Subscribe() {}

// BenchmarkPlacement measures a placement from its submission to its end.
func BenchmarkPlacement(b *testing.B) {
	endpoints := &immediateEndpoints{established: make(chan struct{}, 1)}
	loop := startLoop(b, endpoints, endpoints)
	endpoints.loop = loop
	loop.UpdateEndpoints(listOf(balance.ListCached, "s1", "s2"))
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		placement := newFakePlacement(Request{ID: strconv.Itoa(i)})
		loop.Submit(placement, endpoints)
		<-endpoints.established
		loop.PlacementEnded(placement, balance.OK)
	}
}
