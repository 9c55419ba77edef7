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
const looks = 40 * time.Millisecond

// watchers ask all agents all the time, and keep when what they told changed.
type watchers struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex
	now      map[string]agentapi.State // by agent; none of those that do not answer
	bounds   []boundSeen
	postures []postureSeen
	overs    []overSeen
	version  uint64
}

// overSeen is what the record has refused since a time.
type overSeen struct {
	share float64
	at    time.Time
}

// boundSeen is that an agent's node is told another share of a zone.
type boundSeen struct {
	agent, zone string
	share       float64
	at          time.Time
}

// postureSeen is that the record has another posture.
type postureSeen struct {
	agentapi.ZoneStatus
	at time.Time
}

func newWatchers(agents map[string]*testbed.Agent) *watchers {
	ctx, cancel := context.WithCancel(context.Background())
	w := &watchers{cancel: cancel, now: map[string]agentapi.State{}}
	for name, a := range agents {
		w.wg.Go(func() {
			for {
				var state agentapi.State
				err := a.Call(agentapi.OperatorRequest{Method: "state"}, &state)
				w.heard(name, state, err == nil)
				if !fake.Sleep(ctx, looks) {
					return
				}
			}
		})
	}
	return w
}

func (w *watchers) end() {
	w.cancel()
	w.wg.Wait()
}

// heard takes one agent's answer.
func (w *watchers) heard(name string, s agentapi.State, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !ok {
		delete(w.now, name)
		return
	}
	was, is, now := shares(w.now[name].ZoneLimits), shares(s.ZoneLimits), time.Now()
	for zone := range union(was, is) {
		if share(was, zone) != share(is, zone) {
			w.bounds = append(w.bounds, boundSeen{name, zone, share(is, zone), now})
		}
	}
	w.now[name] = s
	if s.ZonesVersion <= w.version {
		return
	}
	w.version = s.ZonesVersion
	w.overs = append(w.overs, overSeen{s.RejectedShare, now})
	for _, p := range s.ZoneStatuses {
		if i := slices.IndexFunc(w.postures, func(o postureSeen) bool { return o.ObservingZone == p.ObservingZone && o.Zone == p.Zone }); i < 0 || w.last(p.ObservingZone, p.Zone).ZoneStatus != p {
			w.postures = append(w.postures, postureSeen{p, now})
		}
	}
}

// last is the latest posture that was seen of a pair; the lock is held.
func (w *watchers) last(from, to string) (p postureSeen) {
	for _, o := range w.postures {
		if o.ObservingZone == from && o.Zone == to {
			p = o
		}
	}
	return p
}

func shares(bounds []agentapi.ZoneLimit) map[string]float64 {
	m := map[string]float64{}
	for _, b := range bounds {
		m[b.Zone] = b.Share
	}
	return m
}

func share(m map[string]float64, zone string) float64 {
	if x, ok := m[zone]; ok {
		return x
	}
	return 1
}

func union(a, b map[string]float64) map[string]float64 {
	all := maps.Clone(a)
	maps.Copy(all, b)
	return all
}

// state is what an agent told last, and whether it answers.
func (w *watchers) state(name string) (agentapi.State, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, ok := w.now[name]
	return s, ok
}

// leader is who leads the record, by what most of those who hear it say; empty for nobody.
func (w *watchers) leader() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	votes, best := map[string]int{}, ""
	for _, name := range slices.Sorted(maps.Keys(w.now)) {
		if s := w.now[name]; s.WithinLease && s.Leader != "" {
			if votes[s.Leader]++; votes[s.Leader] > votes[best] || best == "" {
				best = s.Leader
			}
		}
	}
	return best
}

// settled tells whether all members hear the record, alike, and send everywhere.
func (w *watchers) settled(names []string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range names {
		s, ok := w.now[name]
		if !ok || !s.WithinLease || s.Leader == "" || s.RejectedShare > 0 || s.Index != w.now[names[0]].Index || s.Hash != w.now[names[0]].Hash {
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
func (w *watchers) leaves(zone string, since time.Time) map[string]time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := map[string]time.Time{}
	for _, b := range w.bounds {
		if _, ok := at[b.agent]; b.zone == zone && b.share == 0 && !ok && b.at.After(since) {
			at[b.agent] = b.at
		}
	}
	return at
}

// seen are the postures that the record took since a time, of those that fit.
func (w *watchers) seen(since time.Time, fits func(p agentapi.ZoneStatus) bool) (list []postureSeen) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.postures {
		if p.at.After(since) && fits(p.ZoneStatus) {
			list = append(list, p)
		}
	}
	return list
}

// over is the most that the record has had refused since a time.
func (w *watchers) over(since time.Time) (most float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range w.overs {
		if o.at.After(since) {
			most = max(most, o.share)
		}
	}
	return most
}

// say tells people what all agents told last.
func (w *watchers) say() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(w.now)) {
		s := w.now[name]
		fmt.Fprintf(&b, "%s index %d leader %q fresh %v over %g bounds %v; ", name, s.Index, s.Leader, s.WithinLease, s.RejectedShare, s.ZoneLimits)
	}
	return b.String()
}
