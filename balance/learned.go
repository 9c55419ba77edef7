package balance

// What a process has learned, for another one of its instance. Nothing is decided here.

import (
	"maps"
	"slices"
	"time"
)

// Learned brings what another process of this instance has learned, which ends. What
// stands with it comes as OpenConn.
type InheritedState struct{ LearnedState }

// Memory is what a process has learned of its fleet that takes its time to learn anew, or
// that a cold server's budget goes by.
type LearnedState struct {
	Age                time.Duration   `json:"Age"`   // of the process
	MeanLoad           float64         `json:"Usual"` // load, as seen in so many
	LoadSamples        float64         `json:"Answers"`
	ProbeRTT           float64         `json:"Trip"`    // a probe's usual time, seconds
	ProbeRTTDeviation  float64         `json:"TripDev"` // and its deviation
	RecentPlacements   float64         `json:"Late"`    // placements of late, as far as they count yet
	BaselinePlacements float64         `json:"First"`   // and of first arrivals
	MeanHint           float64         `json:"Hint"`    // the mean of hints, as seen in so many
	HintSamples        float64         `json:"Hints"`
	Servers            []LearnedServer `json:"Servers"`
}

// KnownServer is what a process has learned of a server. What it has placed there, held
// against it and sent it is as far as it counts yet.
type LearnedServer struct {
	ID                string        `json:"ID"`
	StartedAt         time.Duration `json:"Started"`
	Load              float64       `json:"Load"`
	LoadPerConnection float64       `json:"Each"`
	PlacedLoad        float64       `json:"Placed"`
	Faults            float64       `json:"Faults"`
	RecentAttempts    float64       `json:"Sent"`
}

// Recall tells what this process has learned, for another one of this instance.
func (b *Balancer) LearnedState(now time.Duration) LearnedState {
	b.now = max(b.now, now)
	state := LearnedState{Age: b.now - b.startedAt, MeanLoad: b.meanLoad, LoadSamples: b.loadSamples, ProbeRTT: b.probeRTT, ProbeRTTDeviation: b.probeRTTDeviation,
		RecentPlacements: b.rate[0].value(b.now), BaselinePlacements: b.rate[1].value(b.now), MeanHint: b.meanHint, HintSamples: b.hintSamples}
	for _, id := range slices.Sorted(maps.Keys(b.servers)) {
		s := b.servers[id]
		state.Servers = append(state.Servers, LearnedServer{ID: id, StartedAt: s.StartedAt, Load: s.reportedLoad, LoadPerConnection: s.loadPerConnection,
			PlacedLoad: s.placedLoad.value(b.now), Faults: s.recentFaults.value(b.now), RecentAttempts: s.recentAttempts.value(b.now)})
	}
	return state
}

// learn adds what another process has learned to what this one has. Of a server that has
// started anew nothing is known.
func (b *Balancer) inheritState(state LearnedState) {
	if !state.isPlausible() {
		return
	}
	b.startedAt = min(b.startedAt, b.now-state.Age)
	b.rate[0].add(b.now, state.RecentPlacements)
	b.rate[1].add(b.now, state.BaselinePlacements)
	b.meanLoad, b.loadSamples = combineMeans(b.meanLoad, b.loadSamples, state.MeanLoad, state.LoadSamples, maxLoadSamples)
	b.meanHint, b.hintSamples = combineMeans(b.meanHint, b.hintSamples, state.MeanHint, state.HintSamples, 64)
	if b.probeRTT == 0 {
		b.probeRTT, b.probeRTTDeviation = state.ProbeRTT, state.ProbeRTTDeviation
	}
	for _, learned := range state.Servers {
		s := b.servers[learned.ID]
		if s == nil || s.StartedAt != learned.StartedAt {
			continue
		}
		s.recentAttempts.add(b.now, learned.RecentAttempts)
		s.placedLoad.add(b.now, learned.PlacedLoad)
		s.recentFaults.add(b.now, max(0, learned.Faults-s.recentFaults.value(b.now))) // both may mean the same
		if s.reportedLoad < 0 {
			s.reportedLoad, s.loadPerConnection = learned.Load, learned.LoadPerConnection
		}
	}
}

// sound tells whether m can be true: it comes from outside.
func (l *LearnedState) isPlausible() bool {
	values := []float64{l.MeanLoad, l.LoadSamples, l.ProbeRTT, l.ProbeRTTDeviation, l.RecentPlacements, l.BaselinePlacements, l.MeanHint, l.HintSamples}
	for _, k := range l.Servers {
		values = append(values, k.Load+1, k.LoadPerConnection, k.PlacedLoad, k.Faults, k.RecentAttempts) // -1 is no load
	}
	return l.Age >= 0 && !slices.ContainsFunc(values, func(x float64) bool { return !(x >= 0 && x <= maxPlausibleConnections) })
}

// mean is that of two means, each seen in so many, and in how many it is, up to a most.
func combineMeans(mean, samples, otherMean, otherSamples, maxSamples float64) (float64, float64) {
	if otherSamples == 0 {
		return mean, samples
	}
	return (mean*samples + otherMean*otherSamples) / (samples + otherSamples), min(samples+otherSamples, maxSamples)
}
