package balance

// What a process has learned, for another process of its instance. Nothing is decided here. The
// names in JSON are those that other versions read and write.

import (
	"maps"
	"slices"
	"time"
)

// InheritedState brings what another process of this instance has learned, which ends. Its
// connections come as OpenConnection.
type InheritedState struct{ LearnedState }

// LearnedState is what a process has learned of its fleet that takes time to learn anew, or that
// the budgets of cold servers depend on. Counts have decayed to the time of the report.
type LearnedState struct {
	Age                time.Duration   `json:"Age"`     // of the process
	MeanLoad           float64         `json:"Usual"`   // of load reports
	LoadSamples        float64         `json:"Answers"` // reports that MeanLoad is taken from
	ProbeRTT           float64         `json:"Trip"`    // usual round-trip time of a probe, seconds
	ProbeRTTDeviation  float64         `json:"TripDev"` // and its mean deviation, seconds
	RecentPlacements   float64         `json:"Late"`    // attempts of late
	BaselinePlacements float64         `json:"First"`   // first attempts of first arrivals, over a longer time
	MeanHint           float64         `json:"Hint"`    // of load hints
	HintSamples        float64         `json:"Hints"`   // hints that MeanHint is taken from
	Servers            []LearnedServer `json:"Servers"`
}

// LearnedServer is what a process has learned of a server.
type LearnedServer struct {
	ID                string        `json:"ID"`
	StartedAt         time.Duration `json:"Started"`
	Load              float64       `json:"Load"`   // as last reported; -1 if unknown
	LoadPerConnection float64       `json:"Each"`   // by that report; 0 if unknown
	PlacedLoad        float64       `json:"Placed"` // load placed there that reports may not show yet
	Faults            float64       `json:"Faults"` // of late
	RecentAttempts    float64       `json:"Sent"`   // over the time of a cold server's budget
}

// LearnedState returns what this process has learned, for another one of this instance.
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

// inheritState adds what another process has learned to what this one has. State that can't be
// true is ignored as a whole.
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

// inheritServer adds what another process has learned of a server. Of a server that has started
// anew since nothing is known.
func (b *Balancer) inheritServer(learned *LearnedServer) {
	s := b.servers.byID[learned.ID]
	if s == nil || s.StartedAt != learned.StartedAt {
		return
	}
	s.recentAttempts.add(b.now, learned.RecentAttempts)
	s.placedLoad.add(b.now, learned.PlacedLoad)
	// Both processes may have counted the same faults.
	s.recentFaults.add(b.now, max(0, learned.Faults-s.recentFaults.value(b.now)))
	if s.reportedLoad < 0 {
		s.reportedLoad, s.loadPerConnection = learned.Load, learned.LoadPerConnection
	}
}

// isPlausible reports whether the state can be true: it comes from outside.
func (l *LearnedState) isPlausible() bool {
	values := []float64{l.MeanLoad, l.LoadSamples, l.ProbeRTT, l.ProbeRTTDeviation,
		l.RecentPlacements, l.BaselinePlacements, l.MeanHint, l.HintSamples}
	for _, s := range l.Servers {
		loadOrNone := s.Load + 1 // -1 is no load
		values = append(values, loadOrNone, s.LoadPerConnection, s.PlacedLoad, s.Faults, s.RecentAttempts)
	}
	isImplausible := func(x float64) bool { return !(x >= 0 && x <= maxPlausibleConnections) }
	return l.Age >= 0 && !slices.ContainsFunc(values, isImplausible)
}

// combineMeans returns the mean of two means, each taken from so many samples, and the number
// of samples that it counts as, at most maxSamples.
func combineMeans(mean, samples, otherMean, otherSamples, maxSamples float64) (float64, float64) {
	if otherSamples == 0 {
		return mean, samples
	}
	combined := (mean*samples + otherMean*otherSamples) / (samples + otherSamples)
	return combined, min(samples+otherSamples, maxSamples)
}
