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
	// maxKeptTables are kept, so that a node that has one of them is sent the changes only.
	maxKeptTables = 4
	// endpointChangeInterval is the least time between two tables that differ only in the
	// number of ready endpoints.
	endpointChangeInterval = 2 * time.Second
)

// routeTables are the route tables for the node. A table's index is the time at which it was
// built, so that it is new after each change and after each start of the agent.
type routeTables struct {
	mu             sync.Mutex
	kept           []routeupdate.Update // the last few, complete, the latest last
	versions       tableVersions        // of the latest
	builtAt        time.Duration        // the latest
	readyEndpoints map[string]int       // by zone, as the node reports
	nodeHasTable   bool
	update         tableUpdate // the last that was cut into parts
}

// tableVersions are the versions of the log's state that a table is built of.
type tableVersions struct {
	accounts, contracts, allocations uint64
}

// tableUpdate is what leads from one table to another, in parts.
type tableUpdate struct {
	baseIndex, index uint64 // baseIndex is 0 for a complete table
	parts            []routeupdate.Update
}

// latest returns the latest table, with index 0 if there is none. The lock is held.
func (t *routeTables) latest() routeupdate.Update {
	if len(t.kept) == 0 {
		return routeupdate.Update{}
	}
	return t.kept[len(t.kept)-1]
}

// updateNodeState takes how many endpoints the node has in each zone, and which table.
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

// rebuild builds a new table if the log's state asks for it. Only Run calls it.
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
	if len(t.kept) == maxKeptTables {
		t.kept = t.kept[1:]
	}
	t.kept = append(t.kept[:len(t.kept):len(t.kept)], table) // a new array, which frees the dropped one
	t.versions, t.builtAt = versions, now
}

// isRebuildNeeded reports whether the latest table does not do any more. The lock is held.
func (t *routeTables) isRebuildNeeded(now time.Duration, state *logentry.State, versions tableVersions) bool {
	latest := t.latest()
	hasTable := latest.Index != 0
	if len(state.Accounts.Routes) == 0 && len(latest.Set) == 0 && (hasTable || !t.nodeHasTable) {
		return false // there were no routes, and there are none
	}
	if versions != t.versions || !hasTable {
		return true
	}
	sameEndpoints := maps.Equal(t.readyEndpoints, latest.ReadyEndpoints)
	return !sameEndpoints && now >= t.builtAt+endpointChangeInterval
}

// respond adds a part of the latest table to the node's answer, if the node does not have it.
func (t *routeTables) respond(report *agentapi.Report, response *agentapi.Response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	latest := t.latest()
	if len(t.kept) == 0 || latest.Index == report.TableIndex {
		return
	}
	t.cutUpdate(latest, report.TableIndex)
	part := 0
	if report.PartialTableIndex == latest.Index && report.TablePartsReceived < len(t.update.parts) {
		part = report.TablePartsReceived
	}
	response.Table = &t.update.parts[part]
	response.TableParts = len(t.update.parts)
	response.More = part+1 < response.TableParts
}

// cutUpdate cuts what leads from the node's table, or from none if it is not kept any more,
// to the latest into parts, unless that was done before. The lock is held.
func (t *routeTables) cutUpdate(latest routeupdate.Update, nodeTableIndex uint64) {
	var base *routeupdate.Update
	for i := range t.kept {
		if t.kept[i].Index == nodeTableIndex {
			base = &t.kept[i]
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
