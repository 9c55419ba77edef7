package scenario

import (
	"context"
	"fmt"
	mrand "math/rand/v2"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/scenario/faultproxy"
	"coralrelay/internal/scenario/testbed"
)

// cold starts a server in a wave of returning transactions, with gossip that is late and
// lossy, and cuts a third of the nodes off meanwhile.
func (s *fleetScene) cold(ctx context.Context, rng *mrand.Rand) error {
	order := rng.Perm(len(s.Names))
	var cut, rest []string
	for i, n := range order {
		if i < max(1, len(s.Names)/3) {
			cut = append(cut, s.Names[n])
		} else {
			rest = append(rest, s.Names[n])
		}
	}
	s.Proxy.SetBetween(s.Names, s.Names, faultproxy.Fault{Delay: 5 * time.Millisecond, Jitter: 40 * time.Millisecond, Drop: 0.1, Duplicate: 0.05})
	s.SetRate(wave)
	started, err := s.Join("cold", "a", true)
	if err != nil {
		return err
	}
	fake.Sleep(ctx, 1500*time.Millisecond+time.Duration(rng.IntN(1000))*time.Millisecond)
	s.Proxy.SetBetween(cut, rest, faultproxy.Fault{Cut: true})
	fake.Sleep(ctx, cutFor)
	s.Proxy.Heal()
	s.SetRate(1)
	fake.Sleep(ctx, time.Second)
	most, _ := s.BudgetUse("cold", started, time.Now())
	dealt := s.EpochBudgetUse("cold", started)
	s.SetMetric("cold_epoch_of_deal", dealt)
	if !s.FleetOptions.WithoutAgents && dealt > testbed.ChanceAllowance {
		s.AddViolation("deal", fmt.Sprintf("within one epoch a cold server was sent %.2f times what all may deal", dealt))
	}
	s.Leave("cold")
	s.SetMetric("cold_most_of_budget", most)
	if !s.FleetOptions.WithoutAgents && most > testbed.ChanceAllowance {
		s.AddViolation("cold", fmt.Sprintf("a cold server was sent %.2f times its budget within %v", most, fleetWindow))
	}
	s.RequireAtLeast("cold_most_of_budget", 0.2) // else nobody tried
	return nil
}

// fall kills most of the nodes with their agents; after the hold those that are left use
// the whole of their budget for a server that is cold then.
func (s *fleetScene) fall(ctx context.Context, rng *mrand.Rand) error {
	dead := rng.Perm(len(s.Names))[:len(s.Names)*5/7]
	for _, i := range dead {
		s.KillMachine(s.Names[i])
	}
	// Failed is known some seconds later, and then the hold begins.
	fake.Sleep(ctx, 8*time.Second+fleetHold)
	s.SetRate(wave)
	started, err := s.Join("late", "a", true)
	if err != nil {
		return err
	}
	fake.Sleep(ctx, 8*time.Second) // long enough that the count is well beyond testbed.ChanceAllowance
	s.SetRate(1)
	most, mean := s.BudgetUse("late", started, time.Now())
	s.Leave("late")
	s.SetMetric("late_most_of_budget", most)
	s.SetMetric("late_mean_of_budget", mean)
	if !s.FleetOptions.WithoutAgents && most > testbed.ChanceAllowance {
		s.AddViolation("cold", fmt.Sprintf("after a fall, a cold server was sent %.2f times its budget within %v", most, fleetWindow))
	}
	if !s.FleetOptions.WithoutAgents && mean < leastUse {
		s.AddViolation("use", fmt.Sprintf("those who are left send a cold server %.2f of its budget, want %.2f at least", mean, leastUse))
	}
	for _, i := range dead {
		if err := s.RestartMachine(ctx, s.Names[i]); err != nil {
			return err
		}
	}
	fake.Sleep(ctx, 4*time.Second)
	return nil
}
