package udp

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
	steadyInterval, manySteadyFlows = 200 * time.Millisecond, 5000
	// phase is how long each part of the scene takes.
	phaseDuration = 6 * time.Second
	// flooders send as fast as they can.
	floodSenders = 2
)

// flood has steady flows send: by themselves, beside a flood of flows of one datagram
// from made-up sources, and beside one source that opens flow after flow.
func (r *run) playFlood(ctx context.Context, config operatorconfig.UDP) {
	steady, interval := r.Steady, steadyInterval
	if steady > manySteadyFlows {
		interval *= 2
	}
	r.ScaledDown = fmt.Sprintf("%d steady flows, %d flooding senders on the node's own machine", steady, floodSenders)
	ctx, cancel := context.WithCancel(ctx)
	var sent, answered atomic.Int64
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for i := range steady {
		wg.Go(func() {
			if !fake.Sleep(ctx, time.Duration(i)*arrivals/time.Duration(steady)) {
				return
			}
			fake.Steady(ctx, config.Listen, fmt.Sprintf("f%d", i), uint32(i), interval, &sent, &answered)
		})
	}
	share := func(part string) float64 {
		s0, c0 := sent.Load(), answered.Load()
		fake.Sleep(ctx, phaseDuration)
		x := float64(answered.Load()-c0) / max(1, float64(sent.Load()-s0))
		r.SetMetric("steady answered "+part, x)
		return x
	}
	fake.Sleep(ctx, arrivals+2*config.After.Duration+time.Second)
	alone := share("alone")
	spoofing, stop := context.WithCancel(ctx)
	for i := range floodSenders {
		wg.Go(func() {
			n := fake.Flood(spoofing, config.Listen, "spoofed", uint32(1<<22+i<<20), true)
			r.AddMetric("flood sent", float64(n))
		})
	}
	beside := share("beside a flood")
	stop()
	loud, hush := context.WithCancel(ctx)
	begun := time.Now()
	wg.Go(func() {
		n := fake.Flood(loud, config.Listen, "loud", 1<<22-1, false)
		r.AddMetric("one source's sent", float64(n))
	})
	share("beside one source")
	hush()
	took := time.Since(begun).Seconds()
	r.SetMetric("steady, with against without the flood", beside/max(0.001, alone))
	if beside < 0.99*alone {
		r.AddViolation("flood", fmt.Sprintf("steady flows: %.4f answered beside the flood, %.4f without", beside, alone))
	}
	fake.Sleep(ctx, 500*time.Millisecond)
	// Two slots for each source, and what was in them at first.
	if most := 2 * (config.Sources.Rate*took + config.Sources.Burst); r.Metric("one source's flows that went on") > most {
		r.AddViolation("source", fmt.Sprintf("%g flows of one source went on, %g are allowed", r.Metric("one source's flows that went on"), most))
	}
	r.RequireAtLeast("flood sent", 1000)
	r.RequireAtLeast("one source's flows that went on", 1)
}
