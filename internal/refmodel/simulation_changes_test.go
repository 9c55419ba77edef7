package refmodel_test

// What happens to the processes of a simulation: changes of servers and settings, drains.

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

// publish has the processes or, where they poll, discovery know of endpoints.
func (s *simulation) publish(kind balance.ListKind, entries ...discovery.Endpoint) {
	s.record(func(c *refmodel.Checker, now time.Duration) {
		for _, e := range entries {
			started := e.StartedAt
			if started > 0 { // on the checker's clock
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
	nodes := slices.Clone(s.processes)
	s.mu.Unlock()
	for _, n := range nodes {
		n.updateEndpoints(kind, entries)
	}
}

// drainAndRejoin has operators drain the node, to the end or not, and have it rejoin. Connections
// that were established when the drain began must be sent MOVE within the plan.
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
		s.t.Error("it accepts clients while it drains")
	}
	if s.chance(0.5) {
		time.Sleep(s.randomDuration(time.Second)) // in the middle of it
		s.process.server.Rejoin()
		s.process.server.Rejoin()
	} else {
		s.process.server.LameDuck(downstream.DrainPlan{}) // changes nothing
		time.Sleep(2 * time.Second)
		s.mu.Lock()
		for id, since := range s.openSince {
			if since.Before(now) {
				s.t.Errorf("%s is established since %v and was not sent MOVE", id, since.Sub(s.startedAt))
			}
		}
		s.mu.Unlock()
		s.process.server.Rejoin()
	}
	if !s.process.server.AcceptsClients() {
		s.t.Error("it accepts no clients after the drain")
	}
}

// changeSettings changes how many attempts are allowed.
func (s *simulation) changeSettings() {
	s.mu.Lock()
	s.settings.Limits.MaxAttempts = 1 + s.rng.IntN(4)
	set := s.settings
	s.mu.Unlock()
	s.process.eventLoop.UpdateSettings(set)
	synctest.Wait() // it is in force
	s.record(func(c *refmodel.Checker, now time.Duration) { c.SettingsChanged(now, set.Limits.MaxAttempts) })
}

// changeRandomServer changes one server's state: it drains, goes, comes back as it was or as a new
// process.
func (s *simulation) changeRandomServer() {
	s.mu.Lock()
	f := s.servers[fmt.Sprint("s", s.rng.IntN(len(s.servers)))]
	e := &f.endpoint
	states := []balance.ServerState{balance.Ready, balance.Ready, balance.Ready, balance.Draining, balance.Gone}
	e.State = states[s.rng.IntN(len(states))]
	if e.State == balance.Ready && s.rng.IntN(10) == 0 {
		e.StartedAt = time.Duration(time.Now().UnixNano())
	}
	told := *e
	s.mu.Unlock()
	s.publish(balance.ListDelta, told)
}

// drainReadyServer has the first ready server drain, if there is one.
func (s *simulation) drainReadyServer() {
	s.mu.Lock()
	var told []discovery.Endpoint
	for i := range len(s.servers) {
		if f := s.servers[fmt.Sprint("s", i)]; f.endpoint.State == balance.Ready && len(told) == 0 {
			f.endpoint.State = balance.Draining
			told = append(told, f.endpoint)
		}
	}
	s.mu.Unlock()
	s.publish(balance.ListDelta, told...)
}

// restartServer ends a server's process with all its connections and starts another.
func (s *simulation) restartServer(id string) {
	s.mu.Lock()
	f := s.servers[id]
	for conn := range f.conns {
		conn.Close()
	}
	clear(f.conns)
	f.endpoint.StartedAt = time.Duration(time.Now().UnixNano())
	told := f.endpoint
	s.mu.Unlock()
	s.publish(balance.ListDelta, told)
}
