package agent

import (
	"maps"
	"sync"
	"time"

	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/fleet/agentapi/routeupdate"
	"coralrelay/internal/fleet/logentry"
	"coralrelay/internal/route/snapshot"
)

const (
	// maxRecentTables is the number of tables that are kept. A node that has one of them is sent only
	// the changes since that table.
	maxRecentTables = 4
	// endpointChangeInterval is the minimum time between two tables that differ only in the number of
	// ready endpoints.
	endpointChangeInterval = 2 * time.Second
)

// routeTables builds the node's route table and keeps the recent ones. The index of a table is the Unix
// time in ns at which it was built, or more, so it increases with each change and with each restart of
// the agent.
type routeTables struct {
	mu             sync.Mutex
	recent         []routeupdate.Update // complete tables, the latest last
	versions       tableVersions        // versions of the latest table
	builtAt        time.Duration        // time at which the latest table was built
	readyEndpoints map[string]int       // number by zone, as the node reports them
	nodeHasTable   bool
	update         tableUpdate // last update that was split into parts
}

// tableVersions are the versions of the parts of the replicated state from which a table is built.
type tableVersions struct {
	accounts, contracts, allocations uint64
}

// tableUpdate is the update from one table to another, split into parts.
type tableUpdate struct {
	baseIndex, index uint64 // baseIndex is 0 for a complete table
	parts            []routeupdate.Update
}

// latest returns the latest table, or one with index 0 if there is none. The caller holds the lock.
func (t *routeTables) latest() routeupdate.Update {
	if len(t.recent) == 0 {
		return routeupdate.Update{}
	}
	return t.recent[len(t.recent)-1]
}

// updateNodeState records, from the node's report, its number of endpoints in each zone and whether it
// has a route table.
func (t *routeTables) updateNodeState(report *agentapi.Report) {
	ready := map[string]int{}
	for _, server := range report.Servers {
		ready[server.Zone]++
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nodeHasTable = report.TableIndex != 0
	if len(report.Servers) > 0 {
		t.readyEndpoints = ready
	}
}

// rebuild builds a new table if the state of the replicated log requires one. Only Run calls it.
func (t *routeTables) rebuild(now time.Duration, state *logentry.State) {
	if state == nil {
		return
	}
	versions := tableVersions{
		accounts:    state.Accounts.Version,
		contracts:   state.Contracts.Version,
		allocations: state.Contracts.AllocationVersion,
	}
	t.mu.Lock()
	latest, ready := t.latest(), t.readyEndpoints
	isNeeded := t.isRebuildNeeded(now, state, versions)
	t.mu.Unlock()
	if !isNeeded {
		return
	}
	index := max(uint64(now), latest.Index+1)
	table := snapshot.Build(index, state.Accounts, state.Contracts, state.Genesis.Zones.Regions, ready)
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.recent) == maxRecentTables {
		t.recent = t.recent[1:]
	}
	// The full slice expression makes append copy to a new array, so that the dropped table is freed.
	t.recent = append(t.recent[:len(t.recent):len(t.recent)], table)
	t.versions, t.builtAt = versions, now
}

// isRebuildNeeded reports whether the latest table is out of date. The caller holds the lock.
func (t *routeTables) isRebuildNeeded(now time.Duration, state *logentry.State, versions tableVersions) bool {
	latest := t.latest()
	hasTable := latest.Index != 0
	if len(state.Accounts.Routes) == 0 && len(latest.Set) == 0 && (hasTable || !t.nodeHasTable) {
		return false // there are no routes, and there is no table with routes to replace
	}
	if versions != t.versions || !hasTable {
		return true
	}
	sameEndpoints := maps.Equal(t.readyEndpoints, latest.ReadyEndpoints)
	return !sameEndpoints && now >= t.builtAt+endpointChangeInterval
}

// respond adds the next part of the latest table to the response, if the node does not have this table.
func (t *routeTables) respond(report *agentapi.Report, response *agentapi.Response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	latest := t.latest()
	if len(t.recent) == 0 || latest.Index == report.TableIndex {
		return
	}
	t.splitUpdate(latest, report.TableIndex)
	part := 0
	if report.PartialTableIndex == latest.Index && report.TablePartsReceived < len(t.update.parts) {
		part = report.TablePartsReceived
	}
	response.Table = &t.update.parts[part]
	response.TableParts = len(t.update.parts)
	response.More = part+1 < response.TableParts
}

// splitUpdate sets t.update to the update from the node's table to the latest one, unless it is set
// already. If the node has no table, or one that is no longer kept, the update is the complete latest
// table. The caller holds the lock.
func (t *routeTables) splitUpdate(latest routeupdate.Update, nodeTableIndex uint64) {
	var base *routeupdate.Update
	for i := range t.recent {
		if t.recent[i].Index == nodeTableIndex {
			base = &t.recent[i]
		}
	}
	baseIndex := uint64(0)
	if base != nil {
		baseIndex = base.Index
	}
	if t.update.index == latest.Index && t.update.baseIndex == baseIndex {
		return
	}
	table := latest
	if base != nil {
		table = routeupdate.Diff(*base, latest)
	}
	t.update = tableUpdate{
		baseIndex: baseIndex,
		index:     latest.Index,
		parts:     agentapi.SplitTable(table, agentapi.MaxPartBytes),
	}
}
