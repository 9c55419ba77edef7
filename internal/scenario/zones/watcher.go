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

// looks is how often each agent is asked what it knows.
const pollInterval = 40 * time.Millisecond

// watchers ask all agents all the time, and keep when what they told changed.
type watcher struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu            sync.Mutex
	states        map[string]agentapi.State // by agent; none of those that do not answer
	limitChanges  []limitChange
	statusChanges []statusChange
	rejections    []rejectionChange
	zonesVersion  uint64
}

// overSeen is what the record has refused since a time.
type rejectionChange struct {
	share float64
	at    time.Time
}

// boundSeen is that an agent's node is told another share of a zone.
type limitChange struct {
	agent, zone string
	share       float64
	at          time.Time
}

// postureSeen is that the record has another posture.
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

func (w *watcher) close() {
	w.cancel()
	w.wg.Wait()
}

// heard takes one agent's answer.
func (w *watcher) recordState(name string, s agentapi.State, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !ok {
		delete(w.states, name)
		return
	}
	was, is, now := sharesByZone(w.states[name].ZoneLimits), sharesByZone(s.ZoneLimits), time.Now()
	for zone := range mergeZones(was, is) {
		if shareOf(was, zone) != shareOf(is, zone) {
			w.limitChanges = append(w.limitChanges, limitChange{name, zone, shareOf(is, zone), now})
		}
	}
	w.states[name] = s
	if s.ZonesVersion <= w.zonesVersion {
		return
	}
	w.zonesVersion = s.ZonesVersion
	w.rejections = append(w.rejections, rejectionChange{s.RejectedShare, now})
	for _, p := range s.ZoneStatuses {
		if i := slices.IndexFunc(w.statusChanges, func(o statusChange) bool { return o.ObservingZone == p.ObservingZone && o.Zone == p.Zone }); i < 0 || w.lastStatus(p.ObservingZone, p.Zone).ZoneStatus != p {
			w.statusChanges = append(w.statusChanges, statusChange{p, now})
		}
	}
}

// last is the latest posture that was seen of a pair; the lock is held.
func (w *watcher) lastStatus(from, to string) (p statusChange) {
	for _, o := range w.statusChanges {
		if o.ObservingZone == from && o.Zone == to {
			p = o
		}
	}
	return p
}

func sharesByZone(bounds []agentapi.ZoneLimit) map[string]float64 {
	m := map[string]float64{}
	for _, b := range bounds {
		m[b.Zone] = b.Share
	}
	return m
}

func shareOf(m map[string]float64, zone string) float64 {
	if x, ok := m[zone]; ok {
		return x
	}
	return 1
}

func mergeZones(a, b map[string]float64) map[string]float64 {
	all := maps.Clone(a)
	maps.Copy(all, b)
	return all
}

// state is what an agent told last, and whether it answers.
func (w *watcher) state(name string) (agentapi.State, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, ok := w.states[name]
	return s, ok
}

// leader is who leads the record, by what most of those who hear it say; empty for nobody.
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

// settled tells whether all members hear the record, alike, and send everywhere.
func (w *watcher) hasRecovered(names []string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range names {
		s, ok := w.states[name]
		if !ok || !s.WithinLease || s.Leader == "" || s.RejectedShare > 0 || s.Index != w.states[names[0]].Index || s.Hash != w.states[names[0]].Hash {
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

// leaves is when agents' nodes were first told to send a zone nothing, since a time.
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

// seen are the postures that the record took since a time, of those that fit.
func (w *watcher) statusChangesSince(since time.Time, fits func(p agentapi.ZoneStatus) bool) (list []statusChange) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.statusChanges {
		if p.at.After(since) && fits(p.ZoneStatus) {
			list = append(list, p)
		}
	}
	return list
}

// over is the most that the record has had refused since a time.
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

// say tells people what all agents told last.
func (w *watcher) describe() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(w.states)) {
		s := w.states[name]
		fmt.Fprintf(&b, "%s index %d leader %q fresh %v over %g bounds %v; ", name, s.Index, s.Leader, s.WithinLease, s.RejectedShare, s.ZoneLimits)
	}
	return b.String()
}
