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
	// partitionDuration is how long a third of the nodes is partitioned from the rest.
	partitionDuration = 10 * time.Second
	// failureDetection is the longest time that members take to detect the crash of a member.
	failureDetection = 8 * time.Second
	// minBudgetUse is the minimum fraction of a cold server's budget that the surviving nodes must use
	// after a crash. Only half of the budget is allocated, in proportion to rates that the nodes are
	// still learning.
	minBudgetUse = 0.12
)

// lossyGossip is the fault of the links between all members while a server is cold.
var lossyGossip = faultproxy.Fault{
	Delay:     5 * time.Millisecond,
	Jitter:    40 * time.Millisecond,
	Drop:      0.1,
	Duplicate: 0.05,
}

// coldServerUnderPartition starts a server during a surge of returning clients, while gossip is delayed
// and lossy, partitions a third of the nodes, and checks that the server's budget is not exceeded.
func (r *run) coldServerUnderPartition(ctx context.Context, rng *mrand.Rand) error {
	partitioned, rest := r.splitNodes(rng)
	r.Proxy.SetBetween(r.Names, r.Names, lossyGossip)
	r.SetRate(surgeRate)
	startedAt, err := r.Join("cold", "a", true)
	if err != nil {
		return err
	}
	fake.Sleep(ctx, 1500*time.Millisecond+time.Duration(rng.IntN(1000))*time.Millisecond)
	r.Proxy.SetBetween(partitioned, rest, faultproxy.Fault{Cut: true})
	fake.Sleep(ctx, partitionDuration)
	r.Proxy.Heal()
	r.SetRate(1)
	fake.Sleep(ctx, time.Second)
	peak, _ := r.BudgetUse("cold", startedAt, time.Now())
	epochPeak := r.EpochBudgetUse("cold", startedAt)
	r.SetMetric("cold_epoch_of_deal", epochPeak)
	r.requireWithAgents(epochPeak <= testbed.BudgetTolerance, "deal",
		"within one epoch a cold server was sent %.2f times the sum of the members' quotas", epochPeak)
	r.Leave("cold")
	r.SetMetric("cold_most_of_budget", peak)
	r.requireWithAgents(peak <= testbed.BudgetTolerance, "cold",
		"a cold server was sent %.2f times its budget within %v", peak, budgetWindow)
	r.RequireAtLeast("cold_most_of_budget", 0.2) // a lower peak does not test the limit
	return nil
}

// splitNodes returns a random third of the nodes, at least one, and the rest.
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

// crashMostNodes kills most of the nodes with their agents, and starts a cold server once the leases of
// the killed members have expired. The surviving nodes must then use the budget that was freed, without
// exceeding the server's budget.
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
	fake.Sleep(ctx, 8*time.Second) // keeps random variation well within testbed.BudgetTolerance
	r.SetRate(1)
	peak, mean := r.BudgetUse("late", startedAt, time.Now())
	r.Leave("late")
	r.SetMetric("late_most_of_budget", peak)
	r.SetMetric("late_mean_of_budget", mean)
	r.requireWithAgents(peak <= testbed.BudgetTolerance, "cold",
		"after a crash of most nodes, a cold server was sent %.2f times its budget within %v",
		peak, budgetWindow)
	r.requireWithAgents(mean >= minBudgetUse, "use",
		"the surviving nodes send a cold server %.2f of its budget, want at least %.2f", mean, minBudgetUse)
	for _, index := range crashed {
		if err := r.RestartMachine(ctx, r.Names[index]); err != nil {
			return err
		}
	}
	fake.Sleep(ctx, 4*time.Second)
	return nil
}
