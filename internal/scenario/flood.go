package scenario

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/operatorconfig"
)

const (
	// steadyEvery is how often each steady flow sends, twice as seldom if they are many: the
	// scene's senders are on the node's machine.
	steadyEvery, many = 200 * time.Millisecond, 5000
	// phase is how long each part of the scene takes.
	phase = 6 * time.Second
	// flooders send as fast as they can.
	flooders = 2
)

// flood has steady flows send: by themselves, beside a flood of flows of one datagram
// from made-up sources, and beside one source that opens flow after flow.
func (s *udpScene) flood(ctx context.Context, o operatorconfig.UDP) {
	steady, every := s.Steady, steadyEvery
	if steady > many {
		every *= 2
	}
	s.ScaledDown = fmt.Sprintf("%d steady flows, %d flooding senders on the node's own machine", steady, flooders)
	ctx, cancel := context.WithCancel(ctx)
	var sent, came atomic.Int64
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for i := range steady {
		wg.Go(func() {
			if !fake.Sleep(ctx, time.Duration(i)*arrivals/time.Duration(steady)) {
				return
			}
			fake.RunSteadyFlow(ctx, o.Listen, fmt.Sprintf("f%d", i), uint32(i), every, &sent, &came)
		})
	}
	share := func(part string) float64 {
		s0, c0 := sent.Load(), came.Load()
		fake.Sleep(ctx, phase)
		x := float64(came.Load()-c0) / max(1, float64(sent.Load()-s0))
		s.SetMetric("steady answered "+part, x)
		return x
	}
	fake.Sleep(ctx, arrivals+2*o.After.Duration+time.Second)
	alone := share("alone")
	spoofing, stop := context.WithCancel(ctx)
	for i := range flooders {
		wg.Go(func() {
			n := fake.Flood(spoofing, o.Listen, "spoofed", uint32(1<<22+i<<20), true)
			s.AddMetric("flood sent", float64(n))
		})
	}
	beside := share("beside a flood")
	stop()
	loud, hush := context.WithCancel(ctx)
	begun := time.Now()
	wg.Go(func() {
		n := fake.Flood(loud, o.Listen, "loud", 1<<22-1, false)
		s.AddMetric("one source's sent", float64(n))
	})
	share("beside one source")
	hush()
	took := time.Since(begun).Seconds()
	s.SetMetric("steady, with against without the flood", beside/max(0.001, alone))
	if beside < 0.99*alone {
		s.AddViolation("flood", fmt.Sprintf("steady flows: %.4f answered beside the flood, %.4f without", beside, alone))
	}
	fake.Sleep(ctx, 500*time.Millisecond)
	// Two slots for each source, and what was in them at first.
	if most := 2 * (o.Sources.Rate*took + o.Sources.Burst); s.Metric("one source's flows that went on") > most {
		s.AddViolation("source", fmt.Sprintf("%g flows of one source went on, %g are allowed", s.Metric("one source's flows that went on"), most))
	}
	s.RequireAtLeast("flood sent", 1000)
	s.RequireAtLeast("one source's flows that went on", 1)
}
