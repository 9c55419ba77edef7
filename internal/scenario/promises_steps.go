package scenario

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
	stepAtMost = 0.2  // fleet.promises.step
	fullAtMost = 1.08 // of what a region bears, in two seconds, by chance
	givenMost  = 1.15 // of what a region bears, by allocations: all of it, and that demand is measured
	leastKept  = 0.75 // of the first priority's windows once the loop has settled
	exploreMay = 0.06 // of a tenant, in lines of some seconds: 0.02, and by chance
	settledFor = 6 * time.Second
	slackMoves = 2 * time.Second  // evidence of the step before is gone by then
	leaving    = 10 * time.Second // a zone that fails is left, and contracts go elsewhere within a minute of theirs
)

// script is what happens. Its first step is played in any case.
func (s *promisesScene) script(ctx context.Context, all *sync.WaitGroup) (steps []testbed.Phase) {
	meet := func(context.Context, *mrand.Rand) error {
		all.Go(func() { s.clients(ctx, all) })
		if _, met := testbed.Await(ctx, 30*time.Second, s.met); !met && ctx.Err() == nil {
			return fmt.Errorf("members did not meet")
		}
		if err := s.agree(); err != nil {
			return err
		}
		fake.Sleep(ctx, 10*time.Second) // nodes learn what is usual
		return nil
	}
	for _, step := range []struct {
		name string
		do   func(context.Context) error
	}{{"calm", s.calm}, {"slow", s.slower}, {"other", s.other}, {"left", s.left}} {
		steps = append(steps, testbed.Phase{Name: step.name, Run: func(ctx context.Context, _ *mrand.Rand) error {
			from := time.Now()
			err := step.do(ctx)
			s.mu.Lock()
			s.parts[step.name] = [2]time.Time{from, time.Now()}
			s.mu.Unlock()
			return err
		}})
	}
	return append([]testbed.Phase{{Name: "meet", Run: meet}}, steps...)
}

// met tells whether all agents hear the record, at one index.
func (s *promisesScene) met() bool {
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
func (s *promisesScene) breaks(rule, format string, args ...any) {
	if s.name == "" {
		s.AddViolation(rule, fmt.Sprintf(format, args...))
	}
}

// calm has all well but for one moment of slowness: nobody moves.
func (s *promisesScene) calm(ctx context.Context) error {
	from := time.Now()
	fake.Sleep(ctx, 5*time.Second)
	s.slow(map[string]bool{s.quick: true})
	fake.Sleep(ctx, 600*time.Millisecond)
	s.slow(nil)
	fake.Sleep(ctx, 6*time.Second)
	for _, x := range s.moves(from, time.Now()) {
		if x.moved > 0.1 {
			s.breaks("calm", "%s moved %.3f of itself though all was well but for a moment: %v", x.Contract, x.moved, x.Shares)
		}
	}
	return nil
}

// slower has a region slow: the first priority leaves it, and the small one is not overrun.
func (s *promisesScene) slower(ctx context.Context) error {
	from := time.Now()
	s.slow(map[string]bool{s.quick: true})
	fake.Sleep(ctx, 21*time.Second)
	s.bounded("slow", from)
	s.holds("slow", s.tenant("gold"))
	if why := s.why("dream"); !strings.HasPrefix(why, "bound: ") {
		s.breaks("unkept", "dream can be kept nowhere, and the record says %q of it", why)
	}
	share, n := s.into("dream", s.quick, from, time.Now())
	s.SetMetric(s.figure("dream_served_by_slow"), share)
	if n == 0 {
		s.breaks("unkept", "dream was not served at all")
	}
	return nil
}

func (s *promisesScene) why(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unkept[name]
}

// other has that region well again and another slow: tenants go back, and who has left the
// slow one explores it with little.
func (s *promisesScene) other(ctx context.Context) error {
	from := time.Now()
	s.slow(map[string]bool{s.second: true})
	fake.Sleep(ctx, 28*time.Second)
	s.bounded("other", from)
	gold := s.tenant("gold")
	s.holds("other", gold)
	back, all := 0.0, 0.0
	for _, name := range []string{"gold", "silver", "bronze", "thin"} { // who of them is none of the scene's matter
		share, n := s.into(name, s.quick, time.Now().Add(-settledFor), time.Now())
		back, all = back+share*float64(n), all+float64(n)
	}
	s.SetMetric(s.figure("back"), back/max(all, 1))
	if back < 0.15*all || all == 0 {
		s.breaks("back", "%.0f of %.0f first lines of those who had left went to the region that is well again", back, all)
	}
	for _, t := range s.tenants()[:4] {
		share, n := s.into(t.Name, s.second, time.Now().Add(-settledFor), time.Now())
		s.SetMetric(s.figure(t.Name+"_in_slow"), share)
		if t.Name == "gold" && share > exploreMay {
			s.breaks("explore", "%.3f of %d of %s's first lines went to the slow region once it had left", share, n, t.Name)
		}
	}
	return nil
}

// left has the small region fail: the fleet leaves it, contracts with it, and it returns.
func (s *promisesScene) left(ctx context.Context) error {
	s.slow(nil)
	fake.Sleep(ctx, 2*time.Second)
	for _, v := range s.ServersIn(s.small) {
		v.SetFault(fake.Unresponsive)
	}
	begun := time.Now()
	fake.Sleep(ctx, leaving)
	from := time.Now()
	fake.Sleep(ctx, 2*time.Second)
	for _, l := range s.FirstLinesInto(s.small, from, time.Now()) {
		s.breaks("left", "%s sent %s %v after the region failed", l.Node, l.Key, l.At.Sub(begun))
	}
	gone := map[string]float64{}
	for _, x := range s.moves(time.Time{}, time.Now()) {
		gone[x.Contract] = x.Shares[s.small]
	}
	for name, share := range gone {
		if share > 0.01 { // less is worth no entry
			s.breaks("left", "%s has %.3f of itself in a region that is left", name, share)
		}
	}
	for _, v := range s.ServersIn(s.small) {
		v.SetFault(fake.Healthy)
	}
	back := time.Now()
	_, came := testbed.Await(ctx, 20*time.Second, func() bool { return len(s.FirstLinesInto(s.small, back, time.Now())) > 0 })
	s.SetMetric(s.figure("return_ms"), float64(time.Since(back).Milliseconds()))
	if !came && ctx.Err() == nil {
		s.breaks("return", "nobody went to the region that returned within %v", time.Since(back))
	}
	fake.Sleep(ctx, 4*time.Second)
	s.load("left", back)
	return nil
}

// holds checks that a promise is kept once the loop has settled.
func (s *promisesScene) holds(step string, t tenant) {
	share, n := s.kept(t, time.Now().Add(-settledFor), time.Now().Add(-t.seen()))
	s.SetMetric(s.figure(step+"_"+t.Name+"_kept_settled"), share)
	if share < leastKept || n == 0 {
		s.breaks("kept", "%s: %.2f of the last %d windows of %s were kept", step, share, n, t.Name)
	}
}

// bounded checks what holds whatever happens: a step a period, and what regions bear.
func (s *promisesScene) bounded(step string, from time.Time) {
	s.load(step, from)
	well := map[string]string{"slow": s.second, "other": s.quick}[step]
	for _, x := range s.moves(from, time.Now()) {
		if x.left[well] > exploreMay && x.at.Sub(from) > settledFor+slackMoves {
			s.breaks("well", "%s: %s took %.3f of itself out of region %s, which is well", step, x.Contract, x.left[well], well)
		}
		// Who is first makes way for nobody, so he goes by steps alone. The first allocation
		// is held against an even spread, which he may have left by what fails.
		if most := 2 * stepAtMost; x.Contract == "gold" && x.moved > most {
			s.breaks("step", "%s: %s moved %.3f of itself at once, at most %.3f are allowed", step, x.Contract, x.moved, most)
		}
	}
}

func (s *promisesScene) load(step string, from time.Time) {
	for _, zone := range s.Testbed.Zones {
		most := s.fullest(zone, from, time.Now())
		s.SetMetric(s.figure(step+"_load_"+zone), most)
		if most > fullAtMost {
			s.breaks("bears", "%s: region %s was sent %.2f of what it bears", step, zone, most)
		}
		given := s.given(zone, from, time.Now())
		s.SetMetric(s.figure(step+"_given_"+zone), given)
		if given > givenMost {
			s.breaks("bears", "%s: region %s was given %.2f of what it bears", step, zone, given)
		}
	}
}
