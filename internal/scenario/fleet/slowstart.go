package fleet

import (
	"context"
	"fmt"
	mrand "math/rand/v2"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/scenario/faultproxy"
	"coralrelay/internal/scenario/testbed"
)

// cold starts a server in a surgeRate of returning transactions, with gossip that is late and
// lossy, and cuts a third of the nodes off meanwhile.
func (r *run) coldServerUnderPartition(ctx context.Context, rng *mrand.Rand) error {
	order := rng.Perm(len(r.Names))
	var cut, rest []string
	for i, index := range order {
		if i < max(1, len(r.Names)/3) {
			cut = append(cut, r.Names[index])
		} else {
			rest = append(rest, r.Names[index])
		}
	}
	r.Proxy.SetBetween(r.Names, r.Names, faultproxy.Fault{Delay: 5 * time.Millisecond, Jitter: 40 * time.Millisecond, Drop: 0.1, Duplicate: 0.05})
	r.SetRate(surgeRate)
	startedAt, err := r.Join("cold", "a", true)
	if err != nil {
		return err
	}
	fake.Sleep(ctx, 1500*time.Millisecond+time.Duration(rng.IntN(1000))*time.Millisecond)
	r.Proxy.SetBetween(cut, rest, faultproxy.Fault{Cut: true})
	fake.Sleep(ctx, partitionDuration)
	r.Proxy.Heal()
	r.SetRate(1)
	fake.Sleep(ctx, time.Second)
	peak, _ := r.BudgetUse("cold", startedAt, time.Now())
	epochPeak := r.EpochBudgetUse("cold", startedAt)
	r.SetMetric("cold_epoch_of_deal", epochPeak)
	if !r.Options.WithoutAgents && epochPeak > testbed.ChanceAllowance {
		r.AddViolation("deal", fmt.Sprintf("within one epoch a cold server was sent %.2f times what all may deal", epochPeak))
	}
	r.Leave("cold")
	r.SetMetric("cold_most_of_budget", peak)
	if !r.Options.WithoutAgents && peak > testbed.ChanceAllowance {
		r.AddViolation("cold", fmt.Sprintf("a cold server was sent %.2f times its budget within %v", peak, budgetWindow))
	}
	r.RequireAtLeast("cold_most_of_budget", 0.2) // else nobody tried
	return nil
}

// fall kills most of the nodes with their agents; after the hold those that are left use
// the whole of their budget for a server that is cold then.
func (r *run) crashMostNodes(ctx context.Context, rng *mrand.Rand) error {
	crashed := rng.Perm(len(r.Names))[:len(r.Names)*5/7]
	for _, index := range crashed {
		r.KillMachine(r.Names[index])
	}
	// Failed is known some seconds later, and then the hold begins.
	fake.Sleep(ctx, 8*time.Second+leaseTimeout)
	r.SetRate(surgeRate)
	startedAt, err := r.Join("late", "a", true)
	if err != nil {
		return err
	}
	fake.Sleep(ctx, 8*time.Second) // long enough that the count is well beyond testbed.ChanceAllowance
	r.SetRate(1)
	peak, mean := r.BudgetUse("late", startedAt, time.Now())
	r.Leave("late")
	r.SetMetric("late_most_of_budget", peak)
	r.SetMetric("late_mean_of_budget", mean)
	if !r.Options.WithoutAgents && peak > testbed.ChanceAllowance {
		r.AddViolation("cold", fmt.Sprintf("after a fall, a cold server was sent %.2f times its budget within %v", peak, budgetWindow))
	}
	if !r.Options.WithoutAgents && mean < minBudgetUse {
		r.AddViolation("use", fmt.Sprintf("those who are left send a cold server %.2f of its budget, want %.2f at least", mean, minBudgetUse))
	}
	for _, index := range crashed {
		if err := r.RestartMachine(ctx, r.Names[index]); err != nil {
			return err
		}
	}
	fake.Sleep(ctx, 4*time.Second)
	return nil
}
