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

// pollInterval is how often each agent is asked for its state.
const pollInterval = 40 * time.Millisecond

// watcher polls the state of all agents, and records when it changed.
type watcher struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu            sync.Mutex
	states        map[string]agentapi.State // by agent; without those that do not answer
	limitChanges  []limitChange
	statusChanges []statusChange
	rejections    []rejectionChange
	zonesVersion  uint64
}

// rejectionChange is that the replicated log has another share of the load rejected.
type rejectionChange struct {
	share float64
	at    time.Time
}

// limitChange is that an agent's node has another share of a zone as its limit.
type limitChange struct {
	agent, zone string
	share       float64
	at          time.Time
}

// statusChange is that the replicated log has another status of a zone.
type statusChange struct {
	agentapi.ZoneStatus
	at time.Time
}

func newWatcher(agents map[string]*testbed.Agent) *watcher {
	ctx, cancel := context.WithCancel(context.Background())
	w := &watcher{cancel: cancel, states: map[string]agentapi.State{}}
	for name, a := range agents {
		w.wg.Go(func() {
			for {
				var state agentapi.State
				err := a.Call(agentapi.OperatorRequest{Method: "state"}, &state)
				w.recordState(name, state, err == nil)
				if !fake.Sleep(ctx, pollInterval) {
					return
				}
			}
		})
	}
	return w
}

// close ends the polls.
func (w *watcher) close() {
	w.cancel()
	w.wg.Wait()
}

// recordState records the state of an agent; ok is false if it did not answer.
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
	for _, p := range s.ZoneStatuses {
		if last, ok := w.lastStatus(p.ObservingZone, p.Zone); !ok || last.ZoneStatus != p {
			w.statusChanges = append(w.statusChanges, statusChange{p, now})
		}
	}
}

// lastStatus returns the latest status of a zone for an observing zone; the lock is held.
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

// shareOf returns the share of a zone: all of it if there is no limit.
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

// state returns the last state of an agent, and whether it answers.
func (w *watcher) state(name string) (agentapi.State, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, ok := w.states[name]
	return s, ok
}

// leader returns the leader by the vote of the members within their lease; empty for none.
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

// hasRecovered reports whether all members follow the same log and send everywhere.
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
		for _, b := range s.ZoneLimits {
			if b.Share < 1 {
				return false
			}
		}
	}
	return true
}

// evacuatedAt returns by agent when its node's limit of a zone first became 0 after a time.
func (w *watcher) evacuatedAt(zone string, since time.Time) map[string]time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := map[string]time.Time{}
	for _, b := range w.limitChanges {
		if _, ok := at[b.agent]; b.zone == zone && b.share == 0 && !ok && b.at.After(since) {
			at[b.agent] = b.at
		}
	}
	return at
}

// statusChangesSince returns the changes of status after a time that match.
func (w *watcher) statusChangesSince(
	since time.Time, matches func(p agentapi.ZoneStatus) bool,
) (list []statusChange) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.statusChanges {
		if p.at.After(since) && matches(p.ZoneStatus) {
			list = append(list, p)
		}
	}
	return list
}

// maxRejectedShare returns the greatest share of the load that was rejected after a time.
func (w *watcher) maxRejectedShare(since time.Time) (most float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range w.rejections {
		if o.at.After(since) {
			most = max(most, o.share)
		}
	}
	return most
}

// describe returns the last states of all agents, for people.
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
