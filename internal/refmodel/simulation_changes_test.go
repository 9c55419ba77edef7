package refmodel_test

// The changes that a simulation makes to servers and settings, and its operator drains.

import (
	"fmt"
	"slices"
	"testing/synctest"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/discovery"
	"coralrelay/internal/downstream"
	"coralrelay/internal/refmodel"
)

// publish sends endpoints to the processes or, if they poll it, to discovery.
func (s *simulation) publish(kind balance.ListKind, entries ...discovery.Endpoint) {
	s.record(func(c *refmodel.Checker, now time.Duration) {
		for _, e := range entries {
			started := e.StartedAt
			if started > 0 { // convert to the checker's clock
				started -= time.Duration(s.startedAt.UnixNano())
			}
			if s.faults.isPolled() {
				c.ServerChanged(now, e.ID, refmodel.ServerState(e.State), started)
			} else {
				c.NodeNotified(now, e.ID, refmodel.ServerState(e.State), started)
			}
		}
	})
	if s.faults.isPolled() {
		s.discovery.broadcast(entries...)
		return
	}
	s.mu.Lock()
	current := slices.Clone(s.processes)
	s.mu.Unlock()
	for _, p := range current {
		p.updateEndpoints(kind, entries)
	}
}

// drainAndRejoin drains the node as an operator does, to the end or not, and lets it rejoin. Connections
// that were established at the start of a full drain must be sent MOVE within the drain plan.
func (s *simulation) drainAndRejoin() {
	if !s.operatorLock.TryLock() {
		return
	}
	defer s.operatorLock.Unlock()
	now := time.Now()
	s.process.server.LameDuck(downstream.DrainPlan{
		RejectAt:    now.Add(600 * ms),
		MoveStartAt: now.Add(300 * ms),
		MoveEndAt:   now.Add(1500 * ms),
		EndAt:       now.Add(time.Hour),
	})
	if s.process.server.AcceptsClients() {
		s.t.Error("the node accepts clients during the drain")
	}
	if s.chance(0.5) {
		time.Sleep(s.randomDuration(time.Second)) // rejoin in the middle of the drain
		s.process.server.Rejoin()
		s.process.server.Rejoin()
	} else {
		s.process.server.LameDuck(downstream.DrainPlan{}) // a second drain has no effect
		time.Sleep(2 * time.Second)
		s.mu.Lock()
		for id, since := range s.openSince {
			if since.Before(now) {
				s.t.Errorf("%s, established at %v, was not sent MOVE", id, since.Sub(s.startedAt))
			}
		}
		s.mu.Unlock()
		s.process.server.Rejoin()
	}
	if !s.process.server.AcceptsClients() {
		s.t.Error("the node accepts no clients after the drain")
	}
}

// changeSettings changes the maximum number of attempts to a random one.
func (s *simulation) changeSettings() {
	s.mu.Lock()
	s.settings.Limits.MaxAttempts = 1 + s.rng.IntN(4)
	set := s.settings
	s.mu.Unlock()
	s.process.eventLoop.UpdateSettings(set)
	synctest.Wait() // until the event loop uses the settings
	s.record(func(c *refmodel.Checker, now time.Duration) { c.SettingsChanged(now, set.Limits.MaxAttempts) })
}

// changeRandomServer changes the state of a random server: it drains, goes, or is ready again, with the
// same process or with a new one.
func (s *simulation) changeRandomServer() {
	s.mu.Lock()
	server := s.servers[fmt.Sprint("s", s.rng.IntN(len(s.servers)))]
	e := &server.endpoint
	states := []balance.ServerState{balance.Ready, balance.Ready, balance.Ready, balance.Draining, balance.Gone}
	e.State = states[s.rng.IntN(len(states))]
	if e.State == balance.Ready && s.rng.IntN(10) == 0 {
		e.StartedAt = time.Duration(time.Now().UnixNano())
	}
	published := *e
	s.mu.Unlock()
	s.publish(balance.ListDelta, published)
}

// drainReadyServer drains the first ready server, if there is one.
func (s *simulation) drainReadyServer() {
	s.mu.Lock()
	var published []discovery.Endpoint
	for i := range len(s.servers) {
		if server := s.servers[fmt.Sprint("s", i)]; server.endpoint.State == balance.Ready && len(published) == 0 {
			server.endpoint.State = balance.Draining
			published = append(published, server.endpoint)
		}
	}
	s.mu.Unlock()
	s.publish(balance.ListDelta, published...)
}

// restartServer ends a server's process with all its connections and starts a new one.
func (s *simulation) restartServer(id string) {
	s.mu.Lock()
	server := s.servers[id]
	for conn := range server.conns {
		conn.Close()
	}
	clear(server.conns)
	server.endpoint.StartedAt = time.Duration(time.Now().UnixNano())
	published := server.endpoint
	s.mu.Unlock()
	s.publish(balance.ListDelta, published)
}
