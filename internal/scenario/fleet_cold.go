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
	s.Relay.Between(s.Names, s.Names, faultproxy.Fault{Delay: 5 * time.Millisecond, Jitter: 40 * time.Millisecond, Drop: 0.1, Twice: 0.05})
	s.Pace(wave)
	started, err := s.Join("cold", "a", true)
	if err != nil {
		return err
	}
	fake.Sleep(ctx, 1500*time.Millisecond+time.Duration(rng.IntN(1000))*time.Millisecond)
	s.Relay.Between(cut, rest, faultproxy.Fault{Cut: true})
	fake.Sleep(ctx, cutFor)
	s.Relay.Heal()
	s.Pace(1)
	fake.Sleep(ctx, time.Second)
	most, _ := s.Against("cold", started, time.Now())
	dealt := s.Dealt("cold", started)
	s.Set("cold_epoch_of_deal", dealt)
	if !s.FleetOptions.Alone && dealt > testbed.Chance {
		s.Broken("deal", fmt.Sprintf("within one epoch a cold server was sent %.2f times what all may deal", dealt))
	}
	s.Leave("cold")
	s.Set("cold_most_of_budget", most)
	if !s.FleetOptions.Alone && most > testbed.Chance {
		s.Broken("cold", fmt.Sprintf("a cold server was sent %.2f times its budget within %v", most, fleetWindow))
	}
	s.Least("cold_most_of_budget", 0.2) // else nobody tried
	return nil
}

// fall kills most of the nodes with their agents; after the hold those that are left use
// the whole of their budget for a server that is cold then.
func (s *fleetScene) fall(ctx context.Context, rng *mrand.Rand) error {
	dead := rng.Perm(len(s.Names))[:len(s.Names)*5/7]
	for _, i := range dead {
		s.Fell(s.Names[i])
	}
	// Failed is known some seconds later, and then the hold begins.
	fake.Sleep(ctx, 8*time.Second+fleetHold)
	s.Pace(wave)
	started, err := s.Join("late", "a", true)
	if err != nil {
		return err
	}
	fake.Sleep(ctx, 8*time.Second) // long enough that the count is well beyond world.Chance
	s.Pace(1)
	most, mean := s.Against("late", started, time.Now())
	s.Leave("late")
	s.Set("late_most_of_budget", most)
	s.Set("late_mean_of_budget", mean)
	if !s.FleetOptions.Alone && most > testbed.Chance {
		s.Broken("cold", fmt.Sprintf("after a fall, a cold server was sent %.2f times its budget within %v", most, fleetWindow))
	}
	if !s.FleetOptions.Alone && mean < leastUse {
		s.Broken("use", fmt.Sprintf("those who are left send a cold server %.2f of its budget, want %.2f at least", mean, leastUse))
	}
	for _, i := range dead {
		if err := s.Rise(ctx, s.Names[i]); err != nil {
			return err
		}
	}
	fake.Sleep(ctx, 4*time.Second)
	return nil
}
