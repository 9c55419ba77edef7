package objectives

import (
	"context"
	"errors"
	mrand "math/rand/v2"
	"strings"
	"sync"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/scenario/testbed"
)

// The names of the phases that checks tell apart; --steps takes them.
const (
	phaseSlow  = "slow"
	phaseOther = "other"
	phaseLeft  = "left"
)

const (
	// meetTimeout is how long members may take to agree on the replicated log.
	meetTimeout = 30 * time.Second
	// returnTimeout is how long a zone that has recovered may wait for its first client.
	returnTimeout = 20 * time.Second
	// evacuationTime is how long after a zone has failed it is evacuated; contracts go elsewhere
	// within a minute of their time.
	evacuationTime = 10 * time.Second
	// smallestShare is less than any share that is worth an entry in the log.
	smallestShare = 0.01
)

// phases is the script. The first phase is played in any case; clients come from then on, until
// ctx ends.
func (r *run) phases(ctx context.Context, all *sync.WaitGroup) []testbed.Phase {
	gather := func(context.Context, *mrand.Rand) error {
		all.Go(func() { r.openSessions(ctx, all) })
		return r.gather(ctx)
	}
	return []testbed.Phase{
		{Name: "meet", Run: gather},
		r.timedPhase("calm", r.briefSlowness),
		r.timedPhase(phaseSlow, r.slowZone),
		r.timedPhase(phaseOther, r.anotherSlowZone),
		r.timedPhase(phaseLeft, r.failedZone),
	}
}

// timedPhase returns a phase that notes when it was played.
func (r *run) timedPhase(name string, play func(context.Context)) testbed.Phase {
	return testbed.Phase{Name: name, Run: func(ctx context.Context, _ *mrand.Rand) error {
		from := time.Now()
		play(ctx)
		r.mu.Lock()
		r.phaseTimes[name] = timeRange{from, time.Now()}
		r.mu.Unlock()
		return nil
	}}
}

// gather waits until members agree on the replicated log, creates the contracts, and lets nodes
// learn what is usual.
func (r *run) gather(ctx context.Context) error {
	if _, met := testbed.Await(ctx, meetTimeout, r.membersAgree); !met && ctx.Err() == nil {
		return errors.New("members did not meet")
	}
	if err := r.createContracts(); err != nil {
		return err
	}
	fake.Sleep(ctx, 10*time.Second)
	return nil
}

// membersAgree reports whether all agents hear the leader, and are at the same index of the log.
func (r *run) membersAgree() bool {
	index := uint64(0)
	for i, name := range r.Names {
		var state agentapi.State
		err := r.Agents[name].Call(agentapi.OperatorRequest{Method: "state"}, &state)
		if err != nil || !state.WithinLease || state.Leader == "" {
			return false
		}
		if i > 0 && state.Index != index {
			return false
		}
		index = state.Index
	}
	return true
}

// briefSlowness has all well but for one moment of slowness: nobody moves.
func (r *run) briefSlowness(ctx context.Context) {
	const maxMovedShare = 0.1
	from := time.Now()
	fake.Sleep(ctx, 5*time.Second)
	r.setSlowZones(r.firstSlowZone)
	fake.Sleep(ctx, 600*time.Millisecond)
	r.setSlowZones()
	fake.Sleep(ctx, 6*time.Second)
	for _, change := range r.changesBetween(from, time.Now()) {
		if change.movedShare > maxMovedShare {
			r.reportViolation("calm", "%s moved %.3f of itself though all was well but for a moment: %v",
				change.Contract, change.movedShare, change.Shares)
		}
	}
}

// slowZone has a zone slow: the first priority leaves it, and the small zone is not overrun.
func (r *run) slowZone(ctx context.Context) {
	from := time.Now()
	r.setSlowZones(r.firstSlowZone)
	fake.Sleep(ctx, 21*time.Second)
	r.checkSteering(phaseSlow, from, r.secondSlowZone)
	r.checkKept(phaseSlow, r.tenant(gold))
	if reason := r.unmetReason(dream); !strings.HasPrefix(reason, "bound: ") {
		r.reportViolation("unkept", "dream can be kept nowhere, and the record says %q of it", reason)
	}
	share, count := r.shareIntoZone(dream, r.firstSlowZone, from, time.Now())
	r.SetMetric(r.metricName("dream_served_by_slow"), share)
	if count == 0 {
		r.reportViolation("unkept", "dream was not served at all")
	}
}

// anotherSlowZone has that zone well again and another slow: tenants go back, and who has left
// the slow one explores it with little.
func (r *run) anotherSlowZone(ctx context.Context) {
	from := time.Now()
	r.setSlowZones(r.secondSlowZone)
	fake.Sleep(ctx, 28*time.Second)
	r.checkSteering(phaseOther, from, r.firstSlowZone)
	r.checkKept(phaseOther, r.tenant(gold))
	r.checkReturned()
	r.checkExploration()
}

// failedZone has the small zone fail: the fleet evacuates it, contracts leave it, and both
// return once it has recovered.
func (r *run) failedZone(ctx context.Context) {
	r.setSlowZones()
	fake.Sleep(ctx, 2*time.Second)
	for _, server := range r.ServersIn(r.smallZone) {
		server.SetFault(fake.Unresponsive)
	}
	failedAt := time.Now()
	fake.Sleep(ctx, evacuationTime)
	evacuatedAt := time.Now()
	fake.Sleep(ctx, 2*time.Second)
	r.checkEvacuated(failedAt, evacuatedAt)
	for _, server := range r.ServersIn(r.smallZone) {
		server.SetFault(fake.Healthy)
	}
	healthyAt := time.Now()
	_, came := testbed.Await(ctx, returnTimeout, func() bool {
		return len(r.FirstLinesInto(r.smallZone, healthyAt, time.Now())) > 0
	})
	r.SetMetric(r.metricName("return_ms"), float64(time.Since(healthyAt).Milliseconds()))
	if !came && ctx.Err() == nil {
		r.reportViolation("return", "nobody went to the region that returned within %v", time.Since(healthyAt))
	}
	fake.Sleep(ctx, 4*time.Second)
	r.checkLoads(phaseLeft, healthyAt)
}
