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
func (s *run) phases(ctx context.Context, all *sync.WaitGroup) (steps []testbed.Phase) {
	meet := func(context.Context, *mrand.Rand) error {
		all.Go(func() { s.openSessions(ctx, all) })
		if _, met := testbed.Await(ctx, 30*time.Second, s.membersAgree); !met && ctx.Err() == nil {
			return fmt.Errorf("members did not meet")
		}
		if err := s.createContracts(); err != nil {
			return err
		}
		fake.Sleep(ctx, 10*time.Second) // nodes learn what is usual
		return nil
	}
	for _, step := range []struct {
		name string
		do   func(context.Context) error
	}{{"calm", s.briefSlowness}, {"slow", s.slowZone}, {"other", s.anotherSlowZone}, {"left", s.failedZone}} {
		steps = append(steps, testbed.Phase{Name: step.name, Run: func(ctx context.Context, _ *mrand.Rand) error {
			from := time.Now()
			err := step.do(ctx)
			s.mu.Lock()
			s.phaseTimes[step.name] = [2]time.Time{from, time.Now()}
			s.mu.Unlock()
			return err
		}})
	}
	return append([]testbed.Phase{{Name: "meet", Run: meet}}, steps...)
}

// met tells whether all agents hear the record, at one index.
func (s *run) membersAgree() bool {
	index := uint64(0)
	for i, name := range s.Names {
		var state agentapi.State
		if err := s.Agents[name].Call(agentapi.OperatorRequest{Method: "state"}, &state); err != nil || !state.WithinLease || state.Leader == "" || i > 0 && state.Index != index {
			return false
		}
		index = state.Index
	}
	return true
}

// breaks notes a broken rule of the run that is checked.
func (s *run) reportViolation(rule, format string, args ...any) {
	if s.variant == "" {
		s.AddViolation(rule, fmt.Sprintf(format, args...))
	}
}

// calm has all well but for one moment of slowness: nobody moves.
func (s *run) briefSlowness(ctx context.Context) error {
	from := time.Now()
	fake.Sleep(ctx, 5*time.Second)
	s.setSlowZones(map[string]bool{s.firstSlowZone: true})
	fake.Sleep(ctx, 600*time.Millisecond)
	s.setSlowZones(nil)
	fake.Sleep(ctx, 6*time.Second)
	for _, x := range s.changesBetween(from, time.Now()) {
		if x.movedShare > 0.1 {
			s.reportViolation("calm", "%s moved %.3f of itself though all was well but for a moment: %v", x.Contract, x.movedShare, x.Shares)
		}
	}
	return nil
}

// slower has a region slow: the first priority leaves it, and the small one is not overrun.
func (s *run) slowZone(ctx context.Context) error {
	from := time.Now()
	s.setSlowZones(map[string]bool{s.firstSlowZone: true})
	fake.Sleep(ctx, 21*time.Second)
	s.checkSteering("slow", from)
	s.checkKept("slow", s.tenant("gold"))
	if why := s.unmetReason("dream"); !strings.HasPrefix(why, "bound: ") {
		s.reportViolation("unkept", "dream can be kept nowhere, and the record says %q of it", why)
	}
	share, n := s.shareIntoZone("dream", s.firstSlowZone, from, time.Now())
	s.SetMetric(s.metricName("dream_served_by_slow"), share)
	if n == 0 {
		s.reportViolation("unkept", "dream was not served at all")
	}
	return nil
}

func (s *run) unmetReason(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unmetReasons[name]
}

// other has that region well again and another slow: tenants go back, and who has left the
// slow one explores it with little.
func (s *run) anotherSlowZone(ctx context.Context) error {
	from := time.Now()
	s.setSlowZones(map[string]bool{s.secondSlowZone: true})
	fake.Sleep(ctx, 28*time.Second)
	s.checkSteering("other", from)
	gold := s.tenant("gold")
	s.checkKept("other", gold)
	back, all := 0.0, 0.0
	for _, name := range []string{"gold", "silver", "bronze", "thin"} { // who of them is none of the scene's matter
		share, n := s.shareIntoZone(name, s.firstSlowZone, time.Now().Add(-settledPeriod), time.Now())
		back, all = back+share*float64(n), all+float64(n)
	}
	s.SetMetric(s.metricName("back"), back/max(all, 1))
	if back < 0.15*all || all == 0 {
		s.reportViolation("back", "%.0f of %.0f first lines of those who had left went to the region that is well again", back, all)
	}
	for _, t := range s.tenants()[:4] {
		share, n := s.shareIntoZone(t.Name, s.secondSlowZone, time.Now().Add(-settledPeriod), time.Now())
		s.SetMetric(s.metricName(t.Name+"_in_slow"), share)
		if t.Name == "gold" && share > maxExploredShare {
			s.reportViolation("explore", "%.3f of %d of %s's first lines went to the slow region once it had left", share, n, t.Name)
		}
	}
	return nil
}

// left has the small region fail: the fleet leaves it, contracts with it, and it returns.
func (s *run) failedZone(ctx context.Context) error {
	s.setSlowZones(nil)
	fake.Sleep(ctx, 2*time.Second)
	for _, v := range s.ServersIn(s.smallZone) {
		v.SetFault(fake.Unresponsive)
	}
	begun := time.Now()
	fake.Sleep(ctx, evacuationTime)
	from := time.Now()
	fake.Sleep(ctx, 2*time.Second)
	for _, l := range s.FirstLinesInto(s.smallZone, from, time.Now()) {
		s.reportViolation("left", "%s sent %s %v after the region failed", l.Node, l.Key, l.At.Sub(begun))
	}
	gone := map[string]float64{}
	for _, x := range s.changesBetween(time.Time{}, time.Now()) {
		gone[x.Contract] = x.Shares[s.smallZone]
	}
	for name, share := range gone {
		if share > 0.01 { // less is worth no entry
			s.reportViolation("left", "%s has %.3f of itself in a region that is left", name, share)
		}
	}
	for _, v := range s.ServersIn(s.smallZone) {
		v.SetFault(fake.Healthy)
	}
	back := time.Now()
	_, came := testbed.Await(ctx, 20*time.Second, func() bool { return len(s.FirstLinesInto(s.smallZone, back, time.Now())) > 0 })
	s.SetMetric(s.metricName("return_ms"), float64(time.Since(back).Milliseconds()))
	if !came && ctx.Err() == nil {
		s.reportViolation("return", "nobody went to the region that returned within %v", time.Since(back))
	}
	fake.Sleep(ctx, 4*time.Second)
	s.checkLoads("left", back)
	return nil
}

// holds checks that a promise is kept once the loop has settled.
func (s *run) checkKept(step string, t tenant) {
	share, n := s.keptShare(t, time.Now().Add(-settledPeriod), time.Now().Add(-t.boundAtClient()))
	s.SetMetric(s.metricName(step+"_"+t.Name+"_kept_settled"), share)
	if share < minKeptShare || n == 0 {
		s.reportViolation("kept", "%s: %.2f of the last %d windows of %s were kept", step, share, n, t.Name)
	}
}

// bounded checks what holds whatever happens: a step a period, and what regions bear.
func (s *run) checkSteering(step string, from time.Time) {
	s.checkLoads(step, from)
	well := map[string]string{"slow": s.secondSlowZone, "other": s.firstSlowZone}[step]
	for _, x := range s.changesBetween(from, time.Now()) {
		if x.leftByZone[well] > maxExploredShare && x.at.Sub(from) > settledPeriod+staleEvidence {
			s.reportViolation("well", "%s: %s took %.3f of itself out of region %s, which is well", step, x.Contract, x.leftByZone[well], well)
		}
		// Who is first makes way for nobody, so he goes by steps alone. The first allocation
		// is held against an even spread, which he may have left by what fails.
		if most := 2 * maxStep; x.Contract == "gold" && x.movedShare > most {
			s.reportViolation("step", "%s: %s moved %.3f of itself at once, at most %.3f are allowed", step, x.Contract, x.movedShare, most)
		}
	}
}

func (s *run) checkLoads(step string, from time.Time) {
	for _, zone := range s.Testbed.Zones {
		most := s.peakLoad(zone, from, time.Now())
		s.SetMetric(s.metricName(step+"_load_"+zone), most)
		if most > maxZoneLoad {
			s.reportViolation("bears", "%s: region %s was sent %.2f of what it bears", step, zone, most)
		}
		given := s.peakAllocatedLoad(zone, from, time.Now())
		s.SetMetric(s.metricName(step+"_given_"+zone), given)
		if given > maxAllocatedLoad {
			s.reportViolation("bears", "%s: region %s was given %.2f of what it bears", step, zone, given)
		}
	}
}
