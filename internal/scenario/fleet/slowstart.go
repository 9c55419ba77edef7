package fleet

import (
	"context"
	mrand "math/rand/v2"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/scenario/faultproxy"
	"coralrelay/internal/scenario/testbed"
)

const (
	// partitionDuration is how long a third of the nodes is cut off.
	partitionDuration = 10 * time.Second
	// failureDetection is how long members take at most to hold a crashed one for failed.
	failureDetection = 8 * time.Second
	// minBudgetUse is the part of a cold server's budget that the nodes left after a crash have
	// to use: half of it is allocated, by rates that they still learn.
	minBudgetUse = 0.12
)

// lossyGossip is the fault between all members while a server is cold.
var lossyGossip = faultproxy.Fault{
	Delay:     5 * time.Millisecond,
	Jitter:    40 * time.Millisecond,
	Drop:      0.1,
	Duplicate: 0.05,
}

// coldServerUnderPartition starts a server in a surge of returning clients, with gossip that is
// late and lossy, and cuts a third of the nodes off meanwhile.
func (r *run) coldServerUnderPartition(ctx context.Context, rng *mrand.Rand) error {
	cut, rest := r.splitNodes(rng)
	r.Proxy.SetBetween(r.Names, r.Names, lossyGossip)
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
	r.checkAgents(epochPeak <= testbed.BudgetTolerance, "deal",
		"within one epoch a cold server was sent %.2f times what all may deal", epochPeak)
	r.Leave("cold")
	r.SetMetric("cold_most_of_budget", peak)
	r.checkAgents(peak <= testbed.BudgetTolerance, "cold",
		"a cold server was sent %.2f times its budget within %v", peak, budgetWindow)
	r.RequireAtLeast("cold_most_of_budget", 0.2) // else nobody tried
	return nil
}

// splitNodes draws a third of the nodes, one at least.
func (r *run) splitNodes(rng *mrand.Rand) (third, rest []string) {
	for i, index := range rng.Perm(len(r.Names)) {
		if i < max(1, len(r.Names)/3) {
			third = append(third, r.Names[index])
		} else {
			rest = append(rest, r.Names[index])
		}
	}
	return third, rest
}

// crashMostNodes kills most of the nodes with their agents; once their leases are over, those
// that are left use the whole of their budget for a server that is cold then.
func (r *run) crashMostNodes(ctx context.Context, rng *mrand.Rand) error {
	crashed := rng.Perm(len(r.Names))[:len(r.Names)*5/7]
	for _, index := range crashed {
		r.KillMachine(r.Names[index])
	}
	fake.Sleep(ctx, failureDetection+leaseTimeout)
	r.SetRate(surgeRate)
	startedAt, err := r.Join("late", "a", true)
	if err != nil {
		return err
	}
	fake.Sleep(ctx, 8*time.Second) // long enough that chance is well within testbed.ChanceAllowance
	r.SetRate(1)
	peak, mean := r.BudgetUse("late", startedAt, time.Now())
	r.Leave("late")
	r.SetMetric("late_most_of_budget", peak)
	r.SetMetric("late_mean_of_budget", mean)
	r.checkAgents(peak <= testbed.BudgetTolerance, "cold",
		"after a fall, a cold server was sent %.2f times its budget within %v", peak, budgetWindow)
	r.checkAgents(mean >= minBudgetUse, "use",
		"those who are left send a cold server %.2f of its budget, want %.2f at least", mean, minBudgetUse)
	for _, index := range crashed {
		if err := r.RestartMachine(ctx, r.Names[index]); err != nil {
			return err
		}
	}
	fake.Sleep(ctx, 4*time.Second)
	return nil
}
