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
	// steadyInterval is the time between two datagrams of a steady flow. It is doubled if there are
	// more than manySteadyFlows flows, because their senders run on the node's machine.
	steadyInterval  = 200 * time.Millisecond
	manySteadyFlows = 5000
	// phaseDuration is the length of each phase: without a flood, and during either flood.
	phaseDuration = 6 * time.Second
	// floodSenders is the number of senders of the spoofed flood; each sends as fast as it can.
	floodSenders = 2
	// minRelativeAnsweredShare is the minimum share of steady datagrams answered during a flood,
	// relative to the share answered without one.
	minRelativeAnsweredShare = 0.99
)

// Source address numbers of floods. They are above those of steady flows.
const (
	firstSpoofedSource      = 1 << 22
	spoofedSourcesPerSender = 1 << 20
	singleSource            = firstSpoofedSource - 1
)

// singleSourceForwarded is the metric that counts the forwarded flows of the single-source flood.
const singleSourceForwarded = "one source's flows that went on"

// steadyFlows counts the datagrams of flows that send at a constant interval.
type steadyFlows struct {
	sent, answered atomic.Int64 // datagrams
}

// start starts count flows to an address, spread over rampUpTime. They send until ctx ends.
func (f *steadyFlows) start(ctx context.Context, wg *sync.WaitGroup, to string, count int) {
	interval := steadyInterval
	if count > manySteadyFlows {
		interval *= 2
	}
	for i := range count {
		wg.Go(func() {
			if !fake.Sleep(ctx, time.Duration(i)*rampUpTime/time.Duration(count)) {
				return
			}
			fake.RunSteadyFlow(ctx, to, fmt.Sprintf("f%d", i), uint32(i), interval, &f.sent, &f.answered)
		})
	}
}

// answeredShare waits for phaseDuration and returns the share of the datagrams sent in that time
// that were answered.
func (f *steadyFlows) answeredShare(ctx context.Context) float64 {
	sentBefore, answeredBefore := f.sent.Load(), f.answered.Load()
	fake.Sleep(ctx, phaseDuration)
	return float64(f.answered.Load()-answeredBefore) / max(1, float64(f.sent.Load()-sentBefore))
}

// runFlood runs steady flows in three phases: without a flood, during a flood of one-datagram flows
// from spoofed sources, and during a flood of new flows from a single source.
func (r *run) runFlood(ctx context.Context) {
	r.ScaledDown = fmt.Sprintf("%d steady flows, %d flooding senders on the node's machine",
		r.Steady, floodSenders)
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	var steady steadyFlows
	steady.start(ctx, &wg, r.config.Listen, r.Steady)
	fake.Sleep(ctx, rampUpTime+2*r.config.After.Duration+time.Second)

	withoutFlood := steady.answeredShare(ctx)
	r.SetMetric("steady answered alone", withoutFlood)
	duringFlood := r.measureDuringSpoofedFlood(ctx, &wg, &steady)
	r.SetMetric("steady answered beside a flood", duringFlood)
	floodDuration := r.measureDuringSingleSourceFlood(ctx, &wg, &steady)

	r.SetMetric("steady, with against without the flood", duringFlood/max(0.001, withoutFlood))
	if duringFlood < minRelativeAnsweredShare*withoutFlood {
		r.AddViolation("flood", fmt.Sprintf("steady flows: %.4f answered during the flood, %.4f without",
			duringFlood, withoutFlood))
	}
	fake.Sleep(ctx, 500*time.Millisecond)
	r.checkSourceLimit(floodDuration)
	r.RequireAtLeast("flood sent", 1000)
	r.RequireAtLeast(singleSourceForwarded, 1)
}

// measureDuringSpoofedFlood returns the share of steady datagrams that are answered during a flood of
// new flows from spoofed sources.
func (r *run) measureDuringSpoofedFlood(
	ctx context.Context, wg *sync.WaitGroup, steady *steadyFlows,
) float64 {
	floodCtx, stop := context.WithCancel(ctx)
	defer stop()
	for i := range floodSenders {
		wg.Go(func() {
			source := uint32(firstSpoofedSource + i*spoofedSourcesPerSender)
			r.AddMetric("flood sent",
				float64(fake.Flood(floodCtx, r.config.Listen, spoofedFlowPrefix, source, true)))
		})
	}
	return steady.answeredShare(ctx)
}

// measureDuringSingleSourceFlood records the share of steady datagrams that are answered during a
// flood of new flows from one source. It returns how long the flood lasted.
func (r *run) measureDuringSingleSourceFlood(
	ctx context.Context, wg *sync.WaitGroup, steady *steadyFlows,
) time.Duration {
	floodCtx, stop := context.WithCancel(ctx)
	defer stop()
	startedAt := time.Now()
	wg.Go(func() {
		r.AddMetric("one source's sent",
			float64(fake.Flood(floodCtx, r.config.Listen, singleSourceFlowPrefix, singleSource, false)))
	})
	r.SetMetric("steady answered beside one source", steady.answeredShare(ctx))
	stop()
	return time.Since(startedAt)
}

// checkSourceLimit checks that no more flows of the single-source flood were forwarded than the limit
// per source allows. A source takes tokens from two buckets, and both are full at the start, so the
// limit is twice the refilled tokens plus the burst.
func (r *run) checkSourceLimit(floodDuration time.Duration) {
	limit := 2 * (r.config.Sources.Rate*floodDuration.Seconds() + r.config.Sources.Burst)
	if forwarded := r.Metric(singleSourceForwarded); forwarded > limit {
		r.AddViolation("source", fmt.Sprintf("%g flows of one source were forwarded, %g are allowed",
			forwarded, limit))
	}
}
