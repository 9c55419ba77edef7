package refmodel_test

// What the nodes of a scene are told: changes of servers and settings, drains.

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

func (s *simulation) publish(kind balance.ListKind, entries ...discovery.Endpoint) {
	s.record(func(b *refmodel.Checker, now time.Duration) {
		for _, e := range entries {
			started := e.StartedAt
			if started > 0 { // on the book's clock
				started -= time.Duration(s.startedAt.UnixNano())
			}
			if s.faults == silentWatches {
				b.ServerChanged(now, e.ID, refmodel.ServerState(e.State), started)
			} else {
				b.NodeNotified(now, e.ID, refmodel.ServerState(e.State), started)
			}
		}
	})
	if s.faults == silentWatches {
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

// operate has operators empty the node, for as long as it takes or shorter, and bring it
// back. What stood when it was emptied must be told to go within the plan.
func (s *simulation) drainAndRejoin() {
	if !s.operatorLock.TryLock() {
		return
	}
	defer s.operatorLock.Unlock()
	now := time.Now()
	s.process.server.LameDuck(downstream.DrainPlan{RejectAt: now.Add(600 * ms), MoveStartAt: now.Add(300 * ms), MoveEndAt: now.Add(1500 * ms), EndAt: now.Add(time.Hour)})
	if s.process.server.AcceptsClients() {
		s.t.Error("it takes clients while it is emptied")
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
				s.t.Errorf("%s stands since %v and was not told to go", id, since.Sub(s.startedAt))
			}
		}
		s.mu.Unlock()
		s.process.server.Rejoin()
	}
	if !s.process.server.AcceptsClients() {
		s.t.Error("it takes no clients after the drain")
	}
}

// retune changes how many attempts are allowed.
func (s *simulation) changeSettings() {
	s.mu.Lock()
	s.settings.Limits.MaxAttempts = 1 + s.rng.IntN(4)
	set := s.settings
	s.mu.Unlock()
	s.process.eventLoop.UpdateSettings(set)
	synctest.Wait() // it is in force
	s.record(func(b *refmodel.Checker, now time.Duration) { b.SettingsChanged(now, set.Limits.MaxAttempts) })
}

// trouble changes one server's state: it drains, goes, comes back as it was or as a
// new process.
func (s *simulation) changeRandomServer() {
	s.mu.Lock()
	f := s.servers[fmt.Sprint("s", s.rng.IntN(len(s.servers)))]
	e := &f.endpoint
	e.State = []balance.ServerState{balance.Ready, balance.Ready, balance.Ready, balance.Draining, balance.Gone}[s.rng.IntN(5)]
	if e.State == balance.Ready && s.rng.IntN(10) == 0 {
		e.StartedAt = time.Duration(time.Now().UnixNano())
	}
	told := *e
	s.mu.Unlock()
	s.publish(balance.ListDelta, told)
}

// drain has a server drain that is ready, if one is.
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

// restart has a server's process end, with all that it holds, and another start.
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
