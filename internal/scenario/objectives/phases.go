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

// Names of the phases that the checks refer to. The flag --steps accepts them.
const (
	phaseSlow       = "slow"
	phaseSecondSlow = "other"
	phaseFailed     = "left"
)

const (
	// readyTimeout is the time within which the members must agree on the replicated log.
	readyTimeout = 30 * time.Second
	// returnTimeout is the time within which a recovered zone must receive its first client.
	returnTimeout = 20 * time.Second
	// evacuationTime is the time after a zone's failure by which the zone is evacuated. Contracts
	// move elsewhere within a scaled minute.
	evacuationTime = 10 * time.Second
	// negligibleShare is less than any share for which the controller writes an entry to the log.
	negligibleShare = 0.01
)

// phases returns the phases in order. The first phase always runs, and starts the clients, which
// connect until ctx ends.
func (r *run) phases(ctx context.Context, wg *sync.WaitGroup) []testbed.Phase {
	waitUntilReady := func(context.Context, *mrand.Rand) error {
		wg.Go(func() { r.openSessions(ctx, wg) })
		return r.waitUntilReady(ctx)
	}
	return []testbed.Phase{
		{Name: "meet", Run: waitUntilReady},
		r.timedPhase("calm", r.brieflySlowZone),
		r.timedPhase(phaseSlow, r.slowZone),
		r.timedPhase(phaseSecondSlow, r.anotherSlowZone),
		r.timedPhase(phaseFailed, r.failedZone),
	}
}

// timedPhase returns a phase that records the time range in which it ran.
func (r *run) timedPhase(name string, script func(context.Context)) testbed.Phase {
	return testbed.Phase{Name: name, Run: func(ctx context.Context, _ *mrand.Rand) error {
		from := time.Now()
		script(ctx)
		r.mu.Lock()
		r.phaseTimes[name] = timeRange{from, time.Now()}
		r.mu.Unlock()
		return nil
	}}
}

// waitUntilReady waits until the members agree on the replicated log, creates the contracts, and
// gives the nodes time to learn the usual load.
func (r *run) waitUntilReady(ctx context.Context) error {
	if _, ready := testbed.Await(ctx, readyTimeout, r.membersAgree); !ready && ctx.Err() == nil {
		return errors.New("members not ready: no agreement on the replicated log")
	}
	if err := r.createContracts(); err != nil {
		return err
	}
	fake.Sleep(ctx, 10*time.Second)
	return nil
}

// membersAgree reports whether all agents are in contact with a leader and at the same log index.
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

// brieflySlowZone makes a zone slow for a moment: no contract may move more than maxMovedShare.
func (r *run) brieflySlowZone(ctx context.Context) {
	const maxMovedShare = 0.1
	from := time.Now()
	fake.Sleep(ctx, 5*time.Second)
	r.setSlowZones(r.firstSlowZone)
	fake.Sleep(ctx, 600*time.Millisecond)
	r.setSlowZones()
	fake.Sleep(ctx, 6*time.Second)
	for _, change := range r.changesBetween(from, time.Now()) {
		if change.movedShare > maxMovedShare {
			r.violationf("calm", "contract %s moved a share of %.3f after a brief slowness: %v",
				change.Contract, change.movedShare, change.Shares)
		}
	}
}

// slowZone makes a zone slow: the first priority must leave it, and the small zone must not be
// overloaded.
func (r *run) slowZone(ctx context.Context) {
	from := time.Now()
	r.setSlowZones(r.firstSlowZone)
	fake.Sleep(ctx, 21*time.Second)
	r.checkSteering(phaseSlow, from, r.secondSlowZone)
	r.checkObjectiveMet(phaseSlow, r.tenant(gold))
	if reason := r.unmetReason(unmeetable); !strings.HasPrefix(reason, "bound: ") {
		r.violationf("unkept", "no region can meet dream, but its reason in the replicated log is %q",
			reason)
	}
	share, count := r.shareIntoZone(unmeetable, r.firstSlowZone, from, time.Now())
	r.SetMetric(r.metricName("dream_served_by_slow"), share)
	if count == 0 {
		r.violationf("unkept", "dream was not served at all")
	}
}

// anotherSlowZone ends the first zone's slowness and makes another zone slow: tenants must return to
// the recovered zone, and tenants that have left the slow zone may explore it with a small share.
func (r *run) anotherSlowZone(ctx context.Context) {
	from := time.Now()
	r.setSlowZones(r.secondSlowZone)
	fake.Sleep(ctx, 28*time.Second)
	r.checkSteering(phaseSecondSlow, from, r.firstSlowZone)
	r.checkObjectiveMet(phaseSecondSlow, r.tenant(gold))
	r.checkReturned()
	r.checkExploration()
}

// failedZone makes the small zone fail: the fleet must evacuate it, contracts must leave it, and the
// traffic must return once the zone has recovered.
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
	_, returned := testbed.Await(ctx, returnTimeout, func() bool {
		return len(r.FirstLinesInto(r.smallZone, healthyAt, time.Now())) > 0
	})
	r.SetMetric(r.metricName("return_ms"), float64(time.Since(healthyAt).Milliseconds()))
	if !returned && ctx.Err() == nil {
		r.violationf("return", "the recovered region received no client within %v",
			time.Since(healthyAt))
	}
	fake.Sleep(ctx, 4*time.Second)
	r.checkLoads(phaseFailed, healthyAt)
}
