package balance

// How requests, connections, groups and timers are booked. Nothing is decided here.

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// never is a time that does not come.
	never = time.Duration(math.MaxInt64)
	// noteEvery keeps the log readable in a storm.
	logInterval = 10 * time.Second
)

func (b *Balancer) trackRequest(q Request) *request {
	class := b.classes[q.Class]
	if class == nil { // unknown classes are treated as the first, but never repeated
		c := b.settings.Classes[0]
		c.Idempotency = NonIdempotent
		class = &c
	}
	b.lastSequence++
	r := &request{Request: q, sequence: b.lastSequence, class: class, loadFactor: 1}
	if q.LoadHint > 0 && !math.IsInf(q.LoadHint, 1) {
		// Over the mean, and bounded: one client's word must not make all others weigh
		// nothing.
		if b.hintSamples == 0 {
			b.meanHint = q.LoadHint
		}
		b.hintSamples = min(b.hintSamples+1, 64)
		r.loadFactor = min(max(q.LoadHint/b.meanHint, 1/maxLoadFactor), maxLoadFactor)
		b.meanHint += (r.loadFactor - 1) * b.meanHint / b.hintSamples
	}
	b.requests[q.ID], b.requestsBySequence[r.sequence] = r, r
	return r
}

// attach books r as an open connection at s.
func (b *Balancer) attachConnection(r *request, s *server) {
	// Timers of the time before are void: one that was still to come once
	// moved the connection it had helped to place.
	b.setPhase(r, established)
	r.startedAt = b.now
	r.server, r.connectionIndex, r.timerAt = s, len(s.connections), never
	s.connections = append(s.connections, r)
	b.openConnections++
	if b.settings.Connections.GroupAffinity && r.Group != "" {
		g := b.groups[r.Group]
		if g == nil {
			g = &group{}
			b.groups[r.Group] = g
		}
		g.lastServer = s
		g.members++
	}
	if s.State == Draining {
		b.scheduleMigration(r)
	}
}

func (b *Balancer) detachConnection(r *request) {
	s := r.server
	last := len(s.connections) - 1
	s.connections[r.connectionIndex] = s.connections[last]
	s.connections[r.connectionIndex].connectionIndex = r.connectionIndex
	s.connections[last] = nil
	s.connections = s.connections[:last]
	b.openConnections--
	if g := b.groups[r.Group]; g != nil {
		if g.members--; g.members == 0 {
			delete(b.groups, r.Group)
		}
	}
	if last == 0 && s.State == Gone && b.servers[s.ID] == s {
		delete(b.servers, s.ID)
	}
}

// forget drops all that is kept of r.
func (b *Balancer) forgetRequest(r *request) {
	if r.awaitedServer != nil {
		b.stopAwaitingProbe(r)
	}
	if r.phase == established && r.server != nil {
		b.detachConnection(r)
	}
	if r.phase == queued {
		b.removeFromQueue(r)
	}
	b.setPhase(r, ended)
	delete(b.requests, r.ID)
	delete(b.requestsBySequence, r.sequence)
	b.admitQueued()
}

// unqueue takes r out of the queue. It is served newest first: in a long
// congestion what had ended would lie at its bottom for good.
func (b *Balancer) removeFromQueue(r *request) {
	if i := slices.Index(b.queue, r); i >= 0 {
		b.queue = slices.Delete(b.queue, i, i+1)
	}
}

func (b *Balancer) stopAwaitingProbe(r *request) {
	r.awaitedServer.waitingRequests = slices.DeleteFunc(r.awaitedServer.waitingRequests, func(w *request) bool { return w == r })
	r.awaitedServer = nil
}

// enter changes r's phase and counts those that draw or are being set up.
func (b *Balancer) setPhase(r *request, phase requestPhase) {
	wasInSetup, isInSetup := r.phase == drawing || r.phase == attempting, phase == drawing || phase == attempting
	if wasInSetup && !isInSetup {
		b.inSetup--
	} else if isInSetup && !wasInSetup {
		b.inSetup++
	}
	r.phase = phase
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// wakeAt asks to look at r again at the given time.
func (b *Balancer) setRequestTimer(r *request, at time.Duration) {
	// Timers count in microseconds: one that came a fraction early would be
	// taken for an old one, and r would wait for good.
	delay := max(at-b.now, b.settings.Tick).Truncate(time.Microsecond)
	r.timerAt = b.now + delay
	b.emit(SetTimer{Delay: delay, Token: r.sequence})
}

// note logs a line for those on call, at most one in each noteEvery.
func (b *Balancer) logThrottled(message string, args ...any) {
	if b.now >= b.nextLogAt {
		b.nextLogAt = b.now + logInterval
		b.emit(Log{Text: fmt.Sprintf(message, args...)})
	}
}

// jitter spreads d by up to the given share either way.
func (b *Balancer) jitter(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * (1 + share*(2*b.rng.Float64()-1)))
}
