package agent

import (
	"maps"
	"sync"
	"time"

	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/fleet/logentry"
	"coralrelay/internal/route"
	"coralrelay/internal/route/snapshot"
)

const (
	// mostTables are kept, so that a node that has one of them is told what has changed.
	mostTables = 4
	// recount is the least time between two tables that differ in the number of next hops.
	recount = 2 * time.Second
)

// tables are what the node is told of routes. Their index is the time at which they were
// made, so that it is new after each change and after each start of the agent.
type tables struct {
	mu    sync.Mutex
	kept  []route.Update // the last few, whole, the latest last
	of    [3]uint64      // versions that the latest is of: accounts, contracts, allocations
	made  time.Duration
	ready map[string]int // next hops by zone, as the node says
	has   bool           // the node has a table
	news  struct {       // as it was cut last
		since, index uint64
		parts        []route.Update
	}
}

// hear takes how many next hops the node has in each zone, and what table.
func (t *tables) hear(s *agentapi.Report) {
	ready := map[string]int{}
	for _, x := range s.Servers {
		ready[x.Zone]++
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.has = s.TableIndex != 0
	if len(s.Servers) > 0 {
		t.ready = ready
	}
}

// renew makes a new table where the record's state asks for it.
func (t *tables) renew(now time.Duration, s *logentry.State) {
	if s == nil {
		return
	}
	t.mu.Lock()
	ready, last := t.ready, route.Update{}
	if len(t.kept) > 0 {
		last = t.kept[len(t.kept)-1]
	}
	of := [3]uint64{s.Accounts.Version, s.Contracts.Version, s.Contracts.AllocationVersion}
	same := of == t.of && last.Index != 0
	if none := len(s.Accounts.Routes) == 0 && len(last.Set) == 0 && (last.Index != 0 || !t.has); none ||
		same && (maps.Equal(ready, last.ReadyEndpoints) || now < t.made+recount) {
		t.mu.Unlock()
		return
	}
	t.mu.Unlock()
	w := snapshot.Build(max(uint64(now), last.Index+1), s.Accounts, s.Contracts, s.Genesis.Zones.Regions, ready)
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.kept) == mostTables {
		t.kept = t.kept[1:]
	}
	t.kept = append(t.kept[:len(t.kept):len(t.kept)], w)
	t.of, t.made = of, now
}

// tell puts a part of what is news to the node into its answer.
func (t *tables) tell(s *agentapi.Report, to *agentapi.Response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.kept) == 0 || t.kept[len(t.kept)-1].Index == s.TableIndex {
		return
	}
	latest := t.kept[len(t.kept)-1]
	var before *route.Update
	for i := range t.kept {
		if t.kept[i].Index == s.TableIndex {
			before = &t.kept[i]
		}
	}
	since := uint64(0)
	if before != nil {
		since = before.Index
	}
	if n := &t.news; n.index != latest.Index || n.since != since {
		w := latest
		if before != nil {
			w = route.Diff(*before, latest)
		}
		n.since, n.index, n.parts = since, latest.Index, agentapi.SplitTable(w, agentapi.MaxPartBytes)
	}
	part := 0
	if s.PartialTableIndex == latest.Index && s.TablePartsReceived < len(t.news.parts) {
		part = s.TablePartsReceived
	}
	to.Table, to.TableParts = &t.news.parts[part], len(t.news.parts)
	to.More = part+1 < to.TableParts
}
