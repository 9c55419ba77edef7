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

// watchInterval is the time between two reads of the replicated log's state.
const watchInterval = 100 * time.Millisecond

// steeringChange is a change of a contract's allocation in the replicated log.
type steeringChange struct {
	slo.Allocation
	movedShare float64            // share of the contract's traffic that moved since the previous allocation
	leftByZone map[string]float64 // share that left each zone, negative for a share that moved in
	at         time.Time
}

// watchAllocations records each change of an allocation until ctx ends. It reads the state from one
// agent after the other.
func (r *run) watchAllocations(ctx context.Context) {
	latest, version := map[string]slo.Allocation{}, uint64(0)
	for i := 0; fake.Sleep(ctx, watchInterval); i++ {
		var state logentry.State
		agent := r.Agents[r.Names[i%len(r.Names)]]
		err := agent.Call(agentapi.OperatorRequest{Method: "record"}, &state)
		if err != nil || state.Contracts.AllocationVersion <= version {
			continue // the agent lags behind, or has no contact with the other members
		}
		version = state.Contracts.AllocationVersion
		r.mu.Lock()
		for _, allocation := range state.Contracts.Allocations {
			r.recordAllocation(latest, allocation)
		}
		r.mu.Unlock()
	}
}

// recordAllocation records an allocation unless it is already the latest of its contract. The caller
// holds the lock.
func (r *run) recordAllocation(latest map[string]slo.Allocation, allocation slo.Allocation) {
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

// evenShares returns the shares of a contract that was never steered, by zone: its traffic is spread
// evenly over the servers that it may use.
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

// changesBetween returns the changes of allocations that were seen between two times.
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

// unmetReason returns the latest reason in the replicated log why a contract cannot be met.
func (r *run) unmetReason(contract string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unmetReasons[contract]
}

// peakAllocatedLoad returns the maximum load, as a multiple of a zone's capacity, that the allocations
// between two times assigned to the zone, given the tenants' shares of the traffic.
func (r *run) peakAllocatedLoad(zone string, from, until time.Time) (peak float64) {
	load := map[string]float64{} // share of all transactions, by contract
	for _, t := range r.tenants() {
		load[t.Name] = t.trafficShare * r.evenShares(t)[zone]
	}
	capacity := float64(len(r.ServersIn(zone))) / float64(r.Options.Servers) / testbed.UsualLoad
	for _, change := range r.changesBetween(time.Time{}, until) {
		load[change.Contract] = r.tenant(change.Contract).trafficShare *
			max(change.Shares[zone]-change.Overflow, 0)
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
