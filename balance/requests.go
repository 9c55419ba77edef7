package balance

// Tracking of requests, connections and groups. This file contains no decision logic.

import (
	"math"
	"slices"
	"time"
)

// never is a time that is never reached.
const never = time.Duration(math.MaxInt64)

// requestTable holds the requests and connections of this instance.
type requestTable struct {
	byID            map[string]*request
	bySequence      map[uint64]*request // timer tokens are sequence numbers
	lastSequence    uint64
	openConnections int
	groups          map[string]*group
}

// trackRequest starts tracking a new request.
func (b *Balancer) trackRequest(q Request) *request {
	class := b.classes[q.Class]
	if class == nil { // an unknown class is treated as the first one, but its requests are never repeated
		c := b.settings.Classes[0]
		c.Idempotency = NonIdempotent
		class = &c
	}
	b.requests.lastSequence++
	r := &request{Request: q, sequence: b.requests.lastSequence, class: class}
	r.loadFactor = b.fleet.loadFactor(q.LoadHint)
	b.requests.byID[q.ID] = r
	b.requests.bySequence[r.sequence] = r
	return r
}

// removeRequest releases all state of r and admits queued requests in its place.
func (b *Balancer) removeRequest(r *request) {
	if r.awaitedServer != nil {
		r.stopAwaitingProbe()
	}
	if r.phase == established && r.server != nil {
		b.detachConnection(r)
	}
	if r.phase == queued {
		b.admission.removeFromQueue(r)
	}
	b.setPhase(r, ended)
	delete(b.requests.byID, r.ID)
	delete(b.requests.bySequence, r.sequence)
	b.admitQueued()
}

// setPhase changes r's phase and updates the counts of requests in set-up and of those that are drawing.
func (b *Balancer) setPhase(r *request, phase requestPhase) {
	b.admission.countPhase(r.phase, -1)
	b.admission.countPhase(phase, 1)
	r.phase = phase
}

// countPhase adds change to the counts that include requests in the given phase.
func (a *admission) countPhase(phase requestPhase, change int) {
	switch phase {
	case drawing:
		a.drawing += change
		a.inSetup += change
	case attempting:
		a.inSetup += change
	}
}

// removeFromQueue removes r from the queue. The queue is served newest first, so under lasting congestion
// ended requests would otherwise stay at its bottom indefinitely.
func (a *admission) removeFromQueue(r *request) {
	if i := slices.Index(a.queue, r); i >= 0 {
		a.queue = slices.Delete(a.queue, i, i+1)
	}
}

// stopAwaitingProbe removes r from the requests that wait for a probe's result.
func (r *request) stopAwaitingProbe() {
	s := r.awaitedServer
	s.waitingRequests = slices.DeleteFunc(s.waitingRequests, func(w *request) bool { return w == r })
	r.awaitedServer = nil
}

// recordAttempt records an attempt of r that is being sent to s.
func (b *Balancer) recordAttempt(r *request, s *server) {
	r.server, r.startedAt, r.timerAt = s, b.now, never
	r.attemptCount++
	b.fleet.recentPlacements.add(b.now, 1)
	if r.attemptCount > 1 {
		b.fleet.retries.add(b.now, 1)
		b.quota.retryBudget--
	} else if !r.Reconnecting && !r.ClientRetry {
		b.fleet.baselinePlacements.add(b.now, 1)
	}
	r.addedLoad = b.estimateAddedLoad(r, s)
	s.placedLoad.add(b.now, r.addedLoad)
	s.recentAttempts.add(b.now, 1)
	s.observedAttempts.add(b.now, 1)
	s.tokensUsed++
	if b.hasQuota() {
		b.quota.zone(s.Zone).tokensUsed++
	}
}

// releasePlacedLoad subtracts the load that was counted for r's latest attempt, after the attempt has failed
// or was abandoned, and returns the server of the attempt.
func (r *request) releasePlacedLoad(now time.Duration) *server {
	s := r.server
	r.server = nil
	if s != nil {
		s.placedLoad.add(now, -r.addedLoad*decayFactor(now-r.startedAt, s.placedLoad.timeConstant))
	}
	return s
}

// attachConnection records r as an open connection to s.
func (b *Balancer) attachConnection(r *request, s *server) {
	b.setPhase(r, established)
	r.server, r.startedAt = s, b.now
	// Timers set before are void. Otherwise a pending timer from the placement, such as a probe timeout,
	// would be taken for the migration timer and migrate the new connection.
	r.timerAt = never
	r.connectionIndex = len(s.connections)
	s.connections = append(s.connections, r)
	b.requests.openConnections++
	if b.settings.Connections.GroupAffinity && r.Group != "" {
		b.requests.joinGroup(r.Group, s)
	}
	if s.State == Draining {
		b.scheduleMigration(r)
	}
}

// detachConnection records that the open connection r has ended.
func (b *Balancer) detachConnection(r *request) {
	s := r.server
	last := len(s.connections) - 1
	s.connections[r.connectionIndex] = s.connections[last]
	s.connections[r.connectionIndex].connectionIndex = r.connectionIndex
	s.connections[last] = nil
	s.connections = s.connections[:last]
	b.requests.openConnections--
	b.requests.leaveGroup(r.Group)
	b.servers.removeIfGone(s)
}

// migrate ends the open connection r gracefully. Repeated calls have no effect.
func (b *Balancer) migrate(r *request) {
	if !r.migrating {
		r.migrating = true
		b.emit(Migrate{ID: r.ID})
	}
}

// joinGroup adds a member to a group and records s as the server of its latest placement.
func (t *requestTable) joinGroup(name string, s *server) {
	g := t.groups[name]
	if g == nil {
		g = &group{}
		t.groups[name] = g
	}
	g.lastServer = s
	g.members++
}

// leaveGroup removes a member from a group, and the group if it has no members left.
func (t *requestTable) leaveGroup(name string) {
	g := t.groups[name]
	if g == nil {
		return
	}
	g.members--
	if g.members == 0 {
		delete(t.groups, name)
	}
}
