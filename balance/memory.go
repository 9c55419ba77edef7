package balance

// What a process has learned, for another one of its instance. Nothing is decided here.

import (
	"maps"
	"slices"
	"time"
)

// Learned brings what another process of this instance has learned, which ends. What
// stands with it comes as OpenConn.
type Learned struct{ Memory }

// Memory is what a process has learned of its fleet that takes its time to learn anew, or
// that a cold server's budget goes by.
type Memory struct {
	Age     time.Duration `json:"Age"`   // of the process
	Usual   float64       `json:"Usual"` // load, as seen in so many
	Answers float64       `json:"Answers"`
	Trip    float64       `json:"Trip"`    // a probe's usual time, seconds
	TripDev float64       `json:"TripDev"` // and its deviation
	Late    float64       `json:"Late"`    // placements of late, as far as they count yet
	First   float64       `json:"First"`   // and of first arrivals
	Hint    float64       `json:"Hint"`    // the mean of hints, as seen in so many
	Hints   float64       `json:"Hints"`
	Servers []KnownServer `json:"Servers"`
}

// KnownServer is what a process has learned of a server. What it has placed there, held
// against it and sent it is as far as it counts yet.
type KnownServer struct {
	ID      string        `json:"ID"`
	Started time.Duration `json:"Started"`
	Load    float64       `json:"Load"`
	Each    float64       `json:"Each"`
	Placed  float64       `json:"Placed"`
	Faults  float64       `json:"Faults"`
	Sent    float64       `json:"Sent"`
}

// Recall tells what this process has learned, for another one of this instance.
func (b *Balancer) Recall(now time.Duration) Memory {
	b.now = max(b.now, now)
	m := Memory{Age: b.now - b.bornAt, Usual: b.usual, Answers: b.answers, Trip: b.rtt, TripDev: b.rttDev,
		Late: b.rate[0].left(b.now), First: b.rate[1].left(b.now), Hint: b.hint, Hints: b.hints}
	for _, id := range slices.Sorted(maps.Keys(b.servers)) {
		s := b.servers[id]
		m.Servers = append(m.Servers, KnownServer{ID: id, Started: s.Started, Load: s.load, Each: s.each,
			Placed: s.placed.left(b.now), Faults: s.faults.left(b.now), Sent: s.sent.left(b.now)})
	}
	return m
}

// learn adds what another process has learned to what this one has. Of a server that has
// started anew nothing is known.
func (b *Balancer) learn(m Memory) {
	if !m.sound() {
		return
	}
	b.bornAt = min(b.bornAt, b.now-m.Age)
	b.rate[0].add(b.now, m.Late)
	b.rate[1].add(b.now, m.First)
	b.usual, b.answers = mean(b.usual, b.answers, m.Usual, m.Answers, samples)
	b.hint, b.hints = mean(b.hint, b.hints, m.Hint, m.Hints, 64)
	if b.rtt == 0 {
		b.rtt, b.rttDev = m.Trip, m.TripDev
	}
	for _, k := range m.Servers {
		s := b.servers[k.ID]
		if s == nil || s.Started != k.Started {
			continue
		}
		s.sent.add(b.now, k.Sent)
		s.placed.add(b.now, k.Placed)
		s.faults.add(b.now, max(0, k.Faults-s.faults.left(b.now))) // both may mean the same
		if s.load < 0 {
			s.load, s.each = k.Load, k.Each
		}
	}
}

// sound tells whether m can be true: it comes from outside.
func (m *Memory) sound() bool {
	figures := []float64{m.Usual, m.Answers, m.Trip, m.TripDev, m.Late, m.First, m.Hint, m.Hints}
	for _, k := range m.Servers {
		figures = append(figures, k.Load+1, k.Each, k.Placed, k.Faults, k.Sent) // -1 is no load
	}
	return m.Age >= 0 && !slices.ContainsFunc(figures, func(x float64) bool { return !(x >= 0 && x <= mostConns) })
}

// mean is that of two means, each seen in so many, and in how many it is, up to a most.
func mean(x, n, y, m, most float64) (float64, float64) {
	if m == 0 {
		return x, n
	}
	return (x*n + y*m) / (n + m), min(n+m, most)
}
