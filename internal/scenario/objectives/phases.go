package objectives

import (
	"context"
	"fmt"
	mrand "math/rand/v2"
	"strings"
	"sync"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/scenario/testbed"
)

// What the scene holds the fleet to.
const (
	maxStep          = 0.2  // fleet.promises.step
	maxZoneLoad      = 1.08 // of what a region bears, in two seconds, by chance
	maxAllocatedLoad = 1.15 // of what a region bears, by allocations: all of it, and that demand is measured
	minKeptShare     = 0.75 // of the first priority's windows once the loop has settled
	maxExploredShare = 0.06 // of a tenant, in lines of some seconds: 0.02, and by chance
	settledPeriod    = 6 * time.Second
	staleEvidence    = 2 * time.Second  // evidence of the step before is gone by then
	evacuationTime   = 10 * time.Second // a zone that fails is left, and contracts go elsewhere within a minute of theirs
)

// script is what happens. Its first step is played in any case.
func (r *run) phases(ctx context.Context, all *sync.WaitGroup) (steps []testbed.Phase) {
	meet := func(context.Context, *mrand.Rand) error {
		all.Go(func() { r.openSessions(ctx, all) })
		if _, met := testbed.Await(ctx, 30*time.Second, r.membersAgree); !met && ctx.Err() == nil {
			return fmt.Errorf("members did not meet")
		}
		if err := r.createContracts(); err != nil {
			return err
		}
		fake.Sleep(ctx, 10*time.Second) // nodes learn what is usual
		return nil
	}
	for _, step := range []struct {
		name string
		do   func(context.Context) error
	}{{"calm", r.briefSlowness}, {"slow", r.slowZone}, {"other", r.anotherSlowZone}, {"left", r.failedZone}} {
		steps = append(steps, testbed.Phase{Name: step.name, Run: func(ctx context.Context, _ *mrand.Rand) error {
			from := time.Now()
			err := step.do(ctx)
			r.mu.Lock()
			r.phaseTimes[step.name] = [2]time.Time{from, time.Now()}
			r.mu.Unlock()
			return err
		}})
	}
	return append([]testbed.Phase{{Name: "meet", Run: meet}}, steps...)
}

// met tells whether all agents hear the record, at one index.
func (r *run) membersAgree() bool {
	index := uint64(0)
	for i, name := range r.Names {
		var state agentapi.State
		if err := r.Agents[name].Call(agentapi.OperatorRequest{Method: "state"}, &state); err != nil || !state.WithinLease || state.Leader == "" || i > 0 && state.Index != index {
			return false
		}
		index = state.Index
	}
	return true
}

// breaks notes a broken rule of the run that is checked.
func (r *run) reportViolation(rule, format string, args ...any) {
	if r.variant == "" {
		r.AddViolation(rule, fmt.Sprintf(format, args...))
	}
}

// calm has all well but for one moment of slowness: nobody moves.
func (r *run) briefSlowness(ctx context.Context) error {
	from := time.Now()
	fake.Sleep(ctx, 5*time.Second)
	r.setSlowZones(map[string]bool{r.firstSlowZone: true})
	fake.Sleep(ctx, 600*time.Millisecond)
	r.setSlowZones(nil)
	fake.Sleep(ctx, 6*time.Second)
	for _, x := range r.changesBetween(from, time.Now()) {
		if x.movedShare > 0.1 {
			r.reportViolation("calm", "%s moved %.3f of itself though all was well but for a moment: %v", x.Contract, x.movedShare, x.Shares)
		}
	}
	return nil
}

// slower has a region slow: the first priority leaves it, and the small one is not overrun.
func (r *run) slowZone(ctx context.Context) error {
	from := time.Now()
	r.setSlowZones(map[string]bool{r.firstSlowZone: true})
	fake.Sleep(ctx, 21*time.Second)
	r.checkSteering("slow", from)
	r.checkKept("slow", r.tenant("gold"))
	if why := r.unmetReason("dream"); !strings.HasPrefix(why, "bound: ") {
		r.reportViolation("unkept", "dream can be kept nowhere, and the record says %q of it", why)
	}
	share, n := r.shareIntoZone("dream", r.firstSlowZone, from, time.Now())
	r.SetMetric(r.metricName("dream_served_by_slow"), share)
	if n == 0 {
		r.reportViolation("unkept", "dream was not served at all")
	}
	return nil
}

func (r *run) unmetReason(name string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unmetReasons[name]
}

// other has that region well again and another slow: tenants go back, and who has left the
// slow one explores it with little.
func (r *run) anotherSlowZone(ctx context.Context) error {
	from := time.Now()
	r.setSlowZones(map[string]bool{r.secondSlowZone: true})
	fake.Sleep(ctx, 28*time.Second)
	r.checkSteering("other", from)
	gold := r.tenant("gold")
	r.checkKept("other", gold)
	back, all := 0.0, 0.0
	for _, name := range []string{"gold", "silver", "bronze", "thin"} { // who of them is none of the scene's matter
		share, n := r.shareIntoZone(name, r.firstSlowZone, time.Now().Add(-settledPeriod), time.Now())
		back, all = back+share*float64(n), all+float64(n)
	}
	r.SetMetric(r.metricName("back"), back/max(all, 1))
	if back < 0.15*all || all == 0 {
		r.reportViolation("back", "%.0f of %.0f first lines of those who had left went to the region that is well again", back, all)
	}
	for _, t := range r.tenants()[:4] {
		share, n := r.shareIntoZone(t.Name, r.secondSlowZone, time.Now().Add(-settledPeriod), time.Now())
		r.SetMetric(r.metricName(t.Name+"_in_slow"), share)
		if t.Name == "gold" && share > maxExploredShare {
			r.reportViolation("explore", "%.3f of %d of %s's first lines went to the slow region once it had left", share, n, t.Name)
		}
	}
	return nil
}

// left has the small region fail: the fleet leaves it, contracts with it, and it returns.
func (r *run) failedZone(ctx context.Context) error {
	r.setSlowZones(nil)
	fake.Sleep(ctx, 2*time.Second)
	for _, v := range r.ServersIn(r.smallZone) {
		v.SetFault(fake.Unresponsive)
	}
	begun := time.Now()
	fake.Sleep(ctx, evacuationTime)
	from := time.Now()
	fake.Sleep(ctx, 2*time.Second)
	for _, l := range r.FirstLinesInto(r.smallZone, from, time.Now()) {
		r.reportViolation("left", "%s sent %s %v after the region failed", l.Node, l.Key, l.At.Sub(begun))
	}
	gone := map[string]float64{}
	for _, x := range r.changesBetween(time.Time{}, time.Now()) {
		gone[x.Contract] = x.Shares[r.smallZone]
	}
	for name, share := range gone {
		if share > 0.01 { // less is worth no entry
			r.reportViolation("left", "%s has %.3f of itself in a region that is left", name, share)
		}
	}
	for _, v := range r.ServersIn(r.smallZone) {
		v.SetFault(fake.Healthy)
	}
	back := time.Now()
	_, came := testbed.Await(ctx, 20*time.Second, func() bool { return len(r.FirstLinesInto(r.smallZone, back, time.Now())) > 0 })
	r.SetMetric(r.metricName("return_ms"), float64(time.Since(back).Milliseconds()))
	if !came && ctx.Err() == nil {
		r.reportViolation("return", "nobody went to the region that returned within %v", time.Since(back))
	}
	fake.Sleep(ctx, 4*time.Second)
	r.checkLoads("left", back)
	return nil
}

// holds checks that a promise is kept once the loop has settled.
func (r *run) checkKept(step string, t tenant) {
	share, n := r.keptShare(t, time.Now().Add(-settledPeriod), time.Now().Add(-t.boundAtClient()))
	r.SetMetric(r.metricName(step+"_"+t.Name+"_kept_settled"), share)
	if share < minKeptShare || n == 0 {
		r.reportViolation("kept", "%s: %.2f of the last %d windows of %s were kept", step, share, n, t.Name)
	}
}

// bounded checks what holds whatever happens: a step a period, and what regions bear.
func (r *run) checkSteering(step string, from time.Time) {
	r.checkLoads(step, from)
	well := map[string]string{"slow": r.secondSlowZone, "other": r.firstSlowZone}[step]
	for _, x := range r.changesBetween(from, time.Now()) {
		if x.leftByZone[well] > maxExploredShare && x.at.Sub(from) > settledPeriod+staleEvidence {
			r.reportViolation("well", "%s: %s took %.3f of itself out of region %s, which is well", step, x.Contract, x.leftByZone[well], well)
		}
		// Who is first makes way for nobody, so he goes by steps alone. The first allocation
		// is held against an even spread, which he may have left by what fails.
		if most := 2 * maxStep; x.Contract == "gold" && x.movedShare > most {
			r.reportViolation("step", "%s: %s moved %.3f of itself at once, at most %.3f are allowed", step, x.Contract, x.movedShare, most)
		}
	}
}

func (r *run) checkLoads(step string, from time.Time) {
	for _, zone := range r.Testbed.Zones {
		most := r.peakLoad(zone, from, time.Now())
		r.SetMetric(r.metricName(step+"_load_"+zone), most)
		if most > maxZoneLoad {
			r.reportViolation("bears", "%s: region %s was sent %.2f of what it bears", step, zone, most)
		}
		given := r.peakAllocatedLoad(zone, from, time.Now())
		r.SetMetric(r.metricName(step+"_given_"+zone), given)
		if given > maxAllocatedLoad {
			r.reportViolation("bears", "%s: region %s was given %.2f of what it bears", step, zone, given)
		}
	}
}
