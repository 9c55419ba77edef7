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

func (s *scene) tell(kind balance.ListKind, entries ...discovery.Endpoint) {
	s.note(func(b *refmodel.Checker, now time.Duration) {
		for _, e := range entries {
			started := e.StartedAt
			if started > 0 { // on the book's clock
				started -= time.Duration(s.begun.UnixNano())
			}
			if s.kind == silent {
				b.ServerChanged(now, e.ID, refmodel.ServerState(e.State), started)
			} else {
				b.NodeNotified(now, e.ID, refmodel.ServerState(e.State), started)
			}
		}
	})
	if s.kind == silent {
		s.board.changed(entries...)
		return
	}
	s.mu.Lock()
	nodes := slices.Clone(s.nodes)
	s.mu.Unlock()
	for _, n := range nodes {
		n.tell(kind, entries)
	}
}

// operate has operators empty the node, for as long as it takes or shorter, and bring it
// back. What stood when it was emptied must be told to go within the plan.
func (s *scene) operate() {
	if !s.operators.TryLock() {
		return
	}
	defer s.operators.Unlock()
	now := time.Now()
	s.node.server.LameDuck(downstream.DrainPlan{RejectAt: now.Add(600 * ms), MoveStartAt: now.Add(300 * ms), MoveEndAt: now.Add(1500 * ms), EndAt: now.Add(time.Hour)})
	if s.node.server.AcceptsClients() {
		s.t.Error("it takes clients while it is emptied")
	}
	if s.chance(0.5) {
		time.Sleep(s.upTo(time.Second)) // in the middle of it
		s.node.server.Rejoin()
		s.node.server.Rejoin()
	} else {
		s.node.server.LameDuck(downstream.DrainPlan{}) // changes nothing
		time.Sleep(2 * time.Second)
		s.mu.Lock()
		for id, since := range s.up {
			if since.Before(now) {
				s.t.Errorf("%s stands since %v and was not told to go", id, since.Sub(s.begun))
			}
		}
		s.mu.Unlock()
		s.node.server.Rejoin()
	}
	if !s.node.server.AcceptsClients() {
		s.t.Error("it takes no clients after the drain")
	}
}

// retune changes how many attempts are allowed.
func (s *scene) retune() {
	s.mu.Lock()
	s.set.Limits.MaxAttempts = 1 + s.rng.IntN(4)
	set := s.set
	s.mu.Unlock()
	s.node.core.UpdateSettings(set)
	synctest.Wait() // it is in force
	s.note(func(b *refmodel.Checker, now time.Duration) { b.SettingsChanged(now, set.Limits.MaxAttempts) })
}

// trouble changes one server's state: it drains, goes, comes back as it was or as a
// new process.
func (s *scene) trouble() {
	s.mu.Lock()
	f := s.feeds[fmt.Sprint("s", s.rng.IntN(len(s.feeds)))]
	e := &f.entry
	e.State = []balance.ServerState{balance.Ready, balance.Ready, balance.Ready, balance.Draining, balance.Gone}[s.rng.IntN(5)]
	if e.State == balance.Ready && s.rng.IntN(10) == 0 {
		e.StartedAt = time.Duration(time.Now().UnixNano())
	}
	told := *e
	s.mu.Unlock()
	s.tell(balance.ListDelta, told)
}

// drain has a server drain that is ready, if one is.
func (s *scene) drain() {
	s.mu.Lock()
	var told []discovery.Endpoint
	for i := range len(s.feeds) {
		if f := s.feeds[fmt.Sprint("s", i)]; f.entry.State == balance.Ready && len(told) == 0 {
			f.entry.State = balance.Draining
			told = append(told, f.entry)
		}
	}
	s.mu.Unlock()
	s.tell(balance.ListDelta, told...)
}

// restart has a server's process end, with all that it holds, and another start.
func (s *scene) restart(id string) {
	s.mu.Lock()
	f := s.feeds[id]
	for conn := range f.conns {
		conn.Close()
	}
	clear(f.conns)
	f.entry.StartedAt = time.Duration(time.Now().UnixNano())
	told := f.entry
	s.mu.Unlock()
	s.tell(balance.ListDelta, told)
}
