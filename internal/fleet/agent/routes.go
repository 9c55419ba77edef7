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
	// mostTables are kept, so that a node that has one of them is told what has changed.
	maxKeptTables = 4
	// recount is the least time between two tables that differ in the number of next hops.
	endpointChangeInterval = 2 * time.Second
)

// tables are what the node is told of routes. Their index is the time at which they were
// made, so that it is new after each change and after each start of the agent.
type routeTables struct {
	mu             sync.Mutex
	kept           []routeupdate.Update // the last few, whole, the latest last
	versions       [3]uint64            // versions that the latest is of: accounts, contracts, allocations
	builtAt        time.Duration
	readyEndpoints map[string]int // next hops by zone, as the node says
	nodeHasTable   bool           // the node has a table
	update         struct {       // as it was cut last
		baseIndex, index uint64
		parts            []routeupdate.Update
	}
}

// hear takes how many next hops the node has in each zone, and what table.
func (t *routeTables) recordNodeState(report *agentapi.Report) {
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

// renew makes a new table where the record's state asks for it.
func (t *routeTables) rebuild(now time.Duration, state *logentry.State) {
	if state == nil {
		return
	}
	t.mu.Lock()
	ready, last := t.readyEndpoints, routeupdate.Update{}
	if len(t.kept) > 0 {
		last = t.kept[len(t.kept)-1]
	}
	versions := [3]uint64{state.Accounts.Version, state.Contracts.Version, state.Contracts.AllocationVersion}
	unchanged := versions == t.versions && last.Index != 0
	if noRoutes := len(state.Accounts.Routes) == 0 && len(last.Set) == 0 && (last.Index != 0 || !t.nodeHasTable); noRoutes ||
		unchanged && (maps.Equal(ready, last.ReadyEndpoints) || now < t.builtAt+endpointChangeInterval) {
		t.mu.Unlock()
		return
	}
	t.mu.Unlock()
	table := snapshot.Build(max(uint64(now), last.Index+1), state.Accounts, state.Contracts, state.Genesis.Zones.Regions, ready)
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.kept) == maxKeptTables {
		t.kept = t.kept[1:]
	}
	t.kept = append(t.kept[:len(t.kept):len(t.kept)], table)
	t.versions, t.builtAt = versions, now
}

// tell puts a part of what is news to the node into its answer.
func (t *routeTables) respond(report *agentapi.Report, response *agentapi.Response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.kept) == 0 || t.kept[len(t.kept)-1].Index == report.TableIndex {
		return
	}
	latest := t.kept[len(t.kept)-1]
	var base *routeupdate.Update
	for i := range t.kept {
		if t.kept[i].Index == report.TableIndex {
			base = &t.kept[i]
		}
	}
	baseIndex := uint64(0)
	if base != nil {
		baseIndex = base.Index
	}
	if update := &t.update; update.index != latest.Index || update.baseIndex != baseIndex {
		table := latest
		if base != nil {
			table = routeupdate.Diff(*base, latest)
		}
		update.baseIndex, update.index, update.parts = baseIndex, latest.Index, agentapi.SplitTable(table, agentapi.MaxPartBytes)
	}
	part := 0
	if report.PartialTableIndex == latest.Index && report.TablePartsReceived < len(t.update.parts) {
		part = report.TablePartsReceived
	}
	response.Table, response.TableParts = &t.update.parts[part], len(t.update.parts)
	response.More = part+1 < response.TableParts
}
