package dispatch

import (
	"strconv"
	"testing"
	"time"

	"coralrelay/balance"
)

// immediate answers every probe and takes every item at once.
type immediate struct {
	core *EventLoop
	up   chan struct{}
}

func (p *immediate) StartAttempt(x Placement, attempt int, server string, _ time.Time) {
	go func() { p.core.AttemptEstablished(x, attempt, server, time.Millisecond); p.up <- struct{}{} }()
}

func (p *immediate) Probe(server string) {
	load := balance.EmptyLoadReport
	load.Utilization, load.Inflight = 0.1, 1e6 // one more connection weighs nothing
	go p.core.ProbeEnded(server, balance.OK, time.Millisecond, load)
}

func (p *immediate) Subscribe() {}

// BenchmarkPlacement is what one placement and its end cost.
func BenchmarkPlacement(b *testing.B) {
	p := &immediate{up: make(chan struct{}, 1)}
	c := startCore(b, p, p)
	p.core = c
	c.UpdateEndpoints(balance.ListUpdate{Kind: balance.ListCached, Entries: []balance.ServerEntry{{ID: "s1"}, {ID: "s2"}}})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		x := &item{Request: Request{ID: strconv.Itoa(i), Class: "feed", Deadline: time.Now().Add(patience)}, done: make(chan struct{})}
		c.Submit(x, p)
		<-p.up
		c.PlacementEnded(x, balance.OK)
	}
}
