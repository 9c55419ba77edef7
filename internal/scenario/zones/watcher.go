package zones

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/scenario/testbed"
)

// pollInterval is the time between two polls of an agent's state.
const pollInterval = 40 * time.Millisecond

// watcher polls the state of all agents, and records its changes with their times.
type watcher struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu            sync.Mutex
	states        map[string]agentapi.State // by agent, without agents that do not answer
	limitChanges  []limitChange
	statusChanges []statusChange
	rejections    []rejectionChange
	zonesVersion  uint64
}

// rejectionChange is an update of the share of the load that all nodes reject by the replicated log.
type rejectionChange struct {
	share float64
	at    time.Time
}

// limitChange is a change of an agent's limit on the share of traffic that its node sends to a zone.
type limitChange struct {
	agent, zone string
	share       float64
	at          time.Time
}

// statusChange is a change of a zone's status in the replicated log.
type statusChange struct {
	agentapi.ZoneStatus
	at time.Time
}

func newWatcher(agents map[string]*testbed.Agent) *watcher {
	ctx, cancel := context.WithCancel(context.Background())
	w := &watcher{cancel: cancel, states: map[string]agentapi.State{}}
	for name, agent := range agents {
		w.wg.Go(func() {
			for {
				var state agentapi.State
				err := agent.Call(agentapi.OperatorRequest{Method: "state"}, &state)
				w.recordState(name, state, err == nil)
				if !fake.Sleep(ctx, pollInterval) {
					return
				}
			}
		})
	}
	return w
}

// close stops polling and waits for the goroutines to end.
func (w *watcher) close() {
	w.cancel()
	w.wg.Wait()
}

// recordState records the state of an agent. ok is false if the agent did not answer.
func (w *watcher) recordState(name string, s agentapi.State, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !ok {
		delete(w.states, name)
		return
	}
	before, after, now := sharesByZone(w.states[name].ZoneLimits), sharesByZone(s.ZoneLimits), time.Now()
	for zone := range mergeZones(before, after) {
		if share := shareOf(after, zone); share != shareOf(before, zone) {
			w.limitChanges = append(w.limitChanges, limitChange{name, zone, share, now})
		}
	}
	w.states[name] = s
	if s.ZonesVersion <= w.zonesVersion {
		return
	}
	w.zonesVersion = s.ZonesVersion
	w.rejections = append(w.rejections, rejectionChange{s.RejectedShare, now})
	for _, status := range s.ZoneStatuses {
		if last, ok := w.lastStatus(status.ObservingZone, status.Zone); !ok || last.ZoneStatus != status {
			w.statusChanges = append(w.statusChanges, statusChange{status, now})
		}
	}
}

// lastStatus returns the latest status of a zone for an observing zone. The caller holds the lock.
func (w *watcher) lastStatus(observingZone, zone string) (last statusChange, ok bool) {
	for _, change := range w.statusChanges {
		if change.ObservingZone == observingZone && change.Zone == zone {
			last, ok = change, true
		}
	}
	return last, ok
}

func sharesByZone(limits []agentapi.ZoneLimit) map[string]float64 {
	shares := map[string]float64{}
	for _, limit := range limits {
		shares[limit.Zone] = limit.Share
	}
	return shares
}

// shareOf returns the share of a zone, which is 1 if the zone has no limit.
func shareOf(shares map[string]float64, zone string) float64 {
	if share, ok := shares[zone]; ok {
		return share
	}
	return 1
}

func mergeZones(a, b map[string]float64) map[string]float64 {
	all := maps.Clone(a)
	maps.Copy(all, b)
	return all
}

// state returns the latest state of an agent, or false if the agent did not answer the last poll.
func (w *watcher) state(name string) (agentapi.State, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, ok := w.states[name]
	return s, ok
}

// leader returns the leader that most members within their lease name, or empty if there is none.
func (w *watcher) leader() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	votes, best := map[string]int{}, ""
	for _, name := range slices.Sorted(maps.Keys(w.states)) {
		if s := w.states[name]; s.WithinLease && s.Leader != "" {
			if votes[s.Leader]++; votes[s.Leader] > votes[best] || best == "" {
				best = s.Leader
			}
		}
	}
	return best
}

// hasRecovered reports whether all members follow the same log and send to all zones.
func (w *watcher) hasRecovered(names []string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	first := w.states[names[0]]
	for _, name := range names {
		s, ok := w.states[name]
		if !ok || !s.WithinLease || s.Leader == "" || s.RejectedShare > 0 {
			return false
		}
		if s.Index != first.Index || s.Hash != first.Hash {
			return false
		}
		for _, limit := range s.ZoneLimits {
			if limit.Share < 1 {
				return false
			}
		}
	}
	return true
}

// evacuatedAt returns, by agent, when its node's limit for a zone first became 0 after a time.
func (w *watcher) evacuatedAt(zone string, since time.Time) map[string]time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := map[string]time.Time{}
	for _, limit := range w.limitChanges {
		if _, ok := at[limit.agent]; limit.zone == zone && limit.share == 0 &&
			!ok && limit.at.After(since) {
			at[limit.agent] = limit.at
		}
	}
	return at
}

// statusChangesSince returns the matching status changes after a time.
func (w *watcher) statusChangesSince(
	since time.Time, matches func(status agentapi.ZoneStatus) bool,
) (list []statusChange) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, status := range w.statusChanges {
		if status.at.After(since) && matches(status.ZoneStatus) {
			list = append(list, status)
		}
	}
	return list
}

// maxRejectedShare returns the maximum share of the load that was rejected after a time.
func (w *watcher) maxRejectedShare(since time.Time) (highest float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, rejection := range w.rejections {
		if rejection.at.After(since) {
			highest = max(highest, rejection.share)
		}
	}
	return highest
}

// describe returns a readable summary of the latest states of all agents.
func (w *watcher) describe() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(w.states)) {
		s := w.states[name]
		fmt.Fprintf(&b, "%s index %d leader %q within lease %v rejected share %g limits %v; ",
			name, s.Index, s.Leader, s.WithinLease, s.RejectedShare, s.ZoneLimits)
	}
	return b.String()
}
