package udp

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"coralrelay/internal/fake"
)

const (
	// steadyInterval is the time from one datagram of a steady flow to its next; it is twice as
	// long if flows are more than manySteadyFlows, as their senders are on the node's machine.
	steadyInterval  = 200 * time.Millisecond
	manySteadyFlows = 5000
	// phaseDuration is how long each part of the run takes.
	phaseDuration = 6 * time.Second
	// floodSenders send as fast as they can.
	floodSenders = 2
	// minSteadyBeside is the part of what steady flows get by themselves that they have to get
	// beside a flood.
	minSteadyBeside = 0.99
)

// The addresses of floods' sources, as numbers: beyond those of steady flows.
const (
	firstSpoofedSource      = 1 << 22
	spoofedSourcesPerSender = 1 << 20
	loudSource              = firstSpoofedSource - 1
)

// loudForwarded is the metric that counts the flows of the loud source.
const loudForwarded = "one source's flows that went on"

// steadyFlows are flows that send all the time.
type steadyFlows struct {
	sent, answered atomic.Int64 // datagrams
}

// start has flows send to an address until ctx ends; they begin one after another.
func (f *steadyFlows) start(ctx context.Context, wg *sync.WaitGroup, to string, count int) {
	interval := steadyInterval
	if count > manySteadyFlows {
		interval *= 2
	}
	for i := range count {
		wg.Go(func() {
			if !fake.Sleep(ctx, time.Duration(i)*arrivals/time.Duration(count)) {
				return
			}
			fake.RunSteadyFlow(ctx, to, fmt.Sprintf("f%d", i), uint32(i), interval, &f.sent, &f.answered)
		})
	}
}

// answeredShare returns what part of the datagrams of one phase is answered, and takes as long.
func (f *steadyFlows) answeredShare(ctx context.Context) float64 {
	sentBefore, answeredBefore := f.sent.Load(), f.answered.Load()
	fake.Sleep(ctx, phaseDuration)
	return float64(f.answered.Load()-answeredBefore) / max(1, float64(f.sent.Load()-sentBefore))
}

// playFlood has steady flows send: by themselves, beside a flood of flows of one datagram from
// made-up sources, and beside one source that opens flow after flow.
func (r *run) playFlood(ctx context.Context) {
	r.ScaledDown = fmt.Sprintf("%d steady flows, %d flooding senders on the node's own machine", r.Steady, floodSenders)
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	var steady steadyFlows
	steady.start(ctx, &wg, r.config.Listen, r.Steady)
	fake.Sleep(ctx, arrivals+2*r.config.After.Duration+time.Second)

	alone := steady.answeredShare(ctx)
	r.SetMetric("steady answered alone", alone)
	beside := r.besideSpoofedFlood(ctx, &wg, &steady)
	r.SetMetric("steady answered beside a flood", beside)
	loudFor := r.besideLoudSource(ctx, &wg, &steady)

	r.SetMetric("steady, with against without the flood", beside/max(0.001, alone))
	if beside < minSteadyBeside*alone {
		r.AddViolation("flood", fmt.Sprintf("steady flows: %.4f answered beside the flood, %.4f without", beside, alone))
	}
	fake.Sleep(ctx, 500*time.Millisecond)
	r.checkSourceLimit(loudFor)
	r.RequireAtLeast("flood sent", 1000)
	r.RequireAtLeast(loudForwarded, 1)
}

// besideSpoofedFlood returns what part of steady datagrams is answered beside new flows from
// made-up sources.
func (r *run) besideSpoofedFlood(ctx context.Context, wg *sync.WaitGroup, steady *steadyFlows) float64 {
	flooding, stop := context.WithCancel(ctx)
	defer stop()
	for i := range floodSenders {
		wg.Go(func() {
			source := uint32(firstSpoofedSource + i*spoofedSourcesPerSender)
			r.AddMetric("flood sent", float64(fake.Flood(flooding, r.config.Listen, spoofedFlows, source, true)))
		})
	}
	return steady.answeredShare(ctx)
}

// besideLoudSource has one source open flow after flow, and returns for how long.
func (r *run) besideLoudSource(ctx context.Context, wg *sync.WaitGroup, steady *steadyFlows) time.Duration {
	flooding, stop := context.WithCancel(ctx)
	defer stop()
	begunAt := time.Now()
	wg.Go(func() {
		r.AddMetric("one source's sent", float64(fake.Flood(flooding, r.config.Listen, loudFlows, loudSource, false)))
	})
	r.SetMetric("steady answered beside one source", steady.answeredShare(ctx))
	stop()
	return time.Since(begunAt)
}

// checkSourceLimit checks that no more flows of the loud source went on than its limit allows:
// a source has two buckets, and what was in them at first.
func (r *run) checkSourceLimit(loudFor time.Duration) {
	limit := 2 * (r.config.Sources.Rate*loudFor.Seconds() + r.config.Sources.Burst)
	if forwarded := r.Metric(loudForwarded); forwarded > limit {
		r.AddViolation("source", fmt.Sprintf("%g flows of one source went on, %g are allowed", forwarded, limit))
	}
}
