package balance

// Learned state, handed from one process of an instance to another. This file contains no decision logic. The
// JSON names are read and written by other versions.

import (
	"maps"
	"slices"
	"time"
)

// InheritedState passes on what another process of this instance, which is about to exit, has learned. The
// connections of that process arrive as OpenConnection events.
type InheritedState struct{ LearnedState }

// LearnedState is the information about the fleet that takes a process time to learn, or on which the budgets
// of cold servers depend. Counts are decayed to the time of the report.
type LearnedState struct {
	Age                time.Duration   `json:"Age"`     // of the process
	MeanLoad           float64         `json:"Usual"`   // mean of load reports
	LoadSamples        float64         `json:"Answers"` // number of reports that MeanLoad averages
	ProbeRTT           float64         `json:"Trip"`    // average round-trip time of a probe, in seconds
	ProbeRTTDeviation  float64         `json:"TripDev"` // its mean deviation, in seconds
	RecentPlacements   float64         `json:"Late"`    // recent attempts
	BaselinePlacements float64         `json:"First"`   // first arrivals' first attempts, over a longer time
	MeanHint           float64         `json:"Hint"`    // mean of load hints
	HintSamples        float64         `json:"Hints"`   // number of hints that MeanHint averages
	Servers            []LearnedServer `json:"Servers"`
}

// LearnedServer is what a process has learned about a server.
type LearnedServer struct {
	ID                string        `json:"ID"`
	StartedAt         time.Duration `json:"Started"`
	Load              float64       `json:"Load"`   // last reported load; -1 if unknown
	LoadPerConnection float64       `json:"Each"`   // according to that report; 0 if unknown
	PlacedLoad        float64       `json:"Placed"` // load placed there that reports may not include yet
	Faults            float64       `json:"Faults"` // recent faults
	RecentAttempts    float64       `json:"Sent"`   // within the time constant of a cold server's budget
}

// LearnedState returns what this process has learned, to be passed to another process of this instance.
func (b *Balancer) LearnedState(now time.Duration) LearnedState {
	b.now = max(b.now, now)
	state := LearnedState{
		Age:                b.now - b.startedAt,
		MeanLoad:           b.fleet.meanLoad,
		LoadSamples:        b.fleet.loadSamples,
		ProbeRTT:           b.fleet.probeRTT,
		ProbeRTTDeviation:  b.fleet.probeRTTDeviation,
		RecentPlacements:   b.fleet.recentPlacements.value(b.now),
		BaselinePlacements: b.fleet.baselinePlacements.value(b.now),
		MeanHint:           b.fleet.meanHint,
		HintSamples:        b.fleet.hintSamples,
	}
	for _, id := range slices.Sorted(maps.Keys(b.servers.byID)) {
		s := b.servers.byID[id]
		state.Servers = append(state.Servers, LearnedServer{
			ID:                id,
			StartedAt:         s.StartedAt,
			Load:              s.reportedLoad,
			LoadPerConnection: s.loadPerConnection,
			PlacedLoad:        s.placedLoad.value(b.now),
			Faults:            s.recentFaults.value(b.now),
			RecentAttempts:    s.recentAttempts.value(b.now),
		})
	}
	return state
}

// inheritState adds what another process has learned to the state of this one. An implausible state is
// ignored as a whole.
func (b *Balancer) inheritState(state LearnedState) {
	if !state.isPlausible() {
		return
	}
	b.startedAt = min(b.startedAt, b.now-state.Age)
	fleet := &b.fleet
	fleet.recentPlacements.add(b.now, state.RecentPlacements)
	fleet.baselinePlacements.add(b.now, state.BaselinePlacements)
	fleet.meanLoad, fleet.loadSamples = combineMeans(fleet.meanLoad, fleet.loadSamples,
		state.MeanLoad, state.LoadSamples, maxLoadSamples)
	fleet.meanHint, fleet.hintSamples = combineMeans(fleet.meanHint, fleet.hintSamples,
		state.MeanHint, state.HintSamples, maxHintSamples)
	if fleet.probeRTT == 0 {
		fleet.probeRTT, fleet.probeRTTDeviation = state.ProbeRTT, state.ProbeRTTDeviation
	}
	for i := range state.Servers {
		b.inheritServer(&state.Servers[i])
	}
}

// inheritServer adds what another process has learned about a server. It is ignored if the server's process
// has been replaced since.
func (b *Balancer) inheritServer(learned *LearnedServer) {
	s := b.servers.byID[learned.ID]
	if s == nil || s.StartedAt != learned.StartedAt {
		return
	}
	s.recentAttempts.add(b.now, learned.RecentAttempts)
	s.placedLoad.add(b.now, learned.PlacedLoad)
	// Both processes may have counted the same faults, so the larger count is used rather than the sum.
	s.recentFaults.add(b.now, max(0, learned.Faults-s.recentFaults.value(b.now)))
	if s.reportedLoad < 0 {
		s.reportedLoad, s.loadPerConnection = learned.Load, learned.LoadPerConnection
	}
}

// isPlausible reports whether all values are in range. They are checked because the state comes from another
// process.
func (l *LearnedState) isPlausible() bool {
	values := []float64{l.MeanLoad, l.LoadSamples, l.ProbeRTT, l.ProbeRTTDeviation,
		l.RecentPlacements, l.BaselinePlacements, l.MeanHint, l.HintSamples}
	for _, s := range l.Servers {
		loadOrNone := s.Load + 1 // -1 for an unknown load becomes 0
		values = append(values, loadOrNone, s.LoadPerConnection, s.PlacedLoad, s.Faults, s.RecentAttempts)
	}
	isImplausible := func(x float64) bool { return !(x >= 0 && x <= maxPlausibleConnections) }
	return l.Age >= 0 && !slices.ContainsFunc(values, isImplausible)
}

// combineMeans returns the mean of two sample sets, given the mean and size of each, and the number of
// samples of the combined mean, at most maxSamples.
func combineMeans(mean, samples, otherMean, otherSamples, maxSamples float64) (float64, float64) {
	if otherSamples == 0 {
		return mean, samples
	}
	combined := (mean*samples + otherMean*otherSamples) / (samples + otherSamples)
	return combined, min(samples+otherSamples, maxSamples)
}
