package objectives

import (
	"context"
	"slices"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/fleet/logentry"
	"coralrelay/internal/fleet/slo"
	"coralrelay/internal/scenario/testbed"
)

// watchInterval is the time from one look at the replicated log to the next.
const watchInterval = 100 * time.Millisecond

// steeringChange is a new allocation of a contract in the replicated log.
type steeringChange struct {
	slo.Allocation
	movedShare float64            // of the contract's traffic, against the allocation before
	leftByZone map[string]float64 // the shares that left each zone; negative for what came
	at         time.Time
}

// watchAllocations notes each change of an allocation, at one agent after the other, until ctx
// ends.
func (r *run) watchAllocations(ctx context.Context) {
	latest, version := map[string]slo.Allocation{}, uint64(0)
	for i := 0; fake.Sleep(ctx, watchInterval); i++ {
		var state logentry.State
		agent := r.Agents[r.Names[i%len(r.Names)]]
		err := agent.Call(agentapi.OperatorRequest{Method: "record"}, &state)
		if err != nil || state.Contracts.AllocationVersion <= version {
			continue // an agent that is behind, or has not met anybody
		}
		version = state.Contracts.AllocationVersion
		r.mu.Lock()
		for _, allocation := range state.Contracts.Allocations {
			r.noteAllocation(latest, allocation)
		}
		r.mu.Unlock()
	}
}

// noteAllocation notes an allocation unless it is the latest of its contract. The lock is held.
func (r *run) noteAllocation(latest map[string]slo.Allocation, allocation slo.Allocation) {
	before, steered := latest[allocation.Contract]
	if steered && before.SteeredAt == allocation.SteeredAt {
		return
	}
	if !steered {
		before.Shares = r.evenShares(r.tenant(allocation.Contract))
	}
	change := steeringChange{Allocation: allocation, at: time.Now(), leftByZone: map[string]float64{}}
	for _, zone := range r.Testbed.Zones {
		change.movedShare += max(allocation.Shares[zone]-before.Shares[zone], 0)
		change.leftByZone[zone] = before.Shares[zone] - allocation.Shares[zone]
	}
	latest[allocation.Contract] = allocation
	if allocation.UnmetReason != "" {
		r.unmetReasons[allocation.Contract] = allocation.UnmetReason
	}
	r.changes = append(r.changes, change)
}

// evenShares returns where a contract goes that was never steered: evenly to the servers that it
// may use.
func (r *run) evenShares(t tenant) map[string]float64 {
	shares, all := map[string]float64{}, 0.0
	for _, server := range r.AllServers() {
		if len(t.Zones) == 0 || slices.Contains(t.Zones, server.Zone) {
			shares[server.Zone]++
			all++
		}
	}
	for zone := range shares {
		shares[zone] /= all
	}
	return shares
}

// changesBetween returns the changes of allocations between two times.
func (r *run) changesBetween(from, until time.Time) (list []steeringChange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, change := range r.changes {
		if change.at.After(from) && change.at.Before(until) {
			list = append(list, change)
		}
	}
	return list
}

// unmetReason returns what the replicated log said last of a contract that can't be met.
func (r *run) unmetReason(contract string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unmetReasons[contract]
}

// peakAllocatedLoad returns the greatest part of what a zone can do that allocations between two
// times gave it, by what tenants ask for.
func (r *run) peakAllocatedLoad(zone string, from, until time.Time) (peak float64) {
	load := map[string]float64{} // by contract, of all transactions
	for _, t := range r.tenants() {
		load[t.Name] = t.trafficShare * r.evenShares(t)[zone]
	}
	capacity := float64(len(r.ServersIn(zone))) / float64(r.Options.Servers) / testbed.UsualLoad
	for _, change := range r.changesBetween(time.Time{}, until) {
		load[change.Contract] = r.tenant(change.Contract).trafficShare * max(change.Shares[zone]-change.Overflow, 0)
		sum := 0.0
		for _, part := range load {
			sum += part
		}
		if change.at.After(from) {
			peak = max(peak, sum/capacity)
		}
	}
	return peak
}
