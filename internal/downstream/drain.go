package downstream

import (
	"context"
	"time"

	"coralrelay/internal/proxy"
)

const (
	// step is the pace of the moves while the node is emptied.
	step = 20 * time.Millisecond
	// arrivals is how long callers keep coming after the node began to leave.
	arrivals = 600 * time.Millisecond
	// parted is what all take who are told to go at last: a step, a write and the read-out.
	parted = linger + 2*step
)

// Plan says how the node is emptied. Every standing connection is moved, evenly
// between two times, those that come up later at once.
type DrainPlan struct {
	RejectAt               time.Time // newcomers get the busy answer from then on
	MoveStartAt, MoveEndAt time.Time
	// End is when there is no more time to wait for who is left. A read-out before it, who
	// still rests and what is not answered get their last answer, and who stands is moved.
	EndAt time.Time
	// Heir is a process that goes on with what stands, and with what comes up later, in
	// place of all moves; nil if there is none.
	Successor proxy.Successor
}

// Leave has the node emptied for good: what comes on callers' connections from then on gets
// the busy answer. Drain has to follow.
func (s *Server) StartDraining(refuse time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rejoined != nil { // what an operator began goes on by another plan
		s.rejoined()
		s.rejoined = nil
	}
	s.leaving, s.refuseAt, s.accepts, s.ended = true, refuse, false, true
}

// Drain empties the node for good. It returns when all are gone, or at the plan's end.
func (s *Server) Drain(p DrainPlan) {
	s.StartDraining(p.RejectAt)
	s.mu.Lock()
	s.end = p.EndAt
	s.mu.Unlock()
	s.empty(context.Background(), p)
}

// LameDuck empties the node until Rejoin. It returns at once, and changes nothing if
// the node is being emptied already.
func (s *Server) LameDuck(p DrainPlan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.leaving, s.refuseAt, s.rejoined = true, p.RejectAt, cancel
	s.wg.Go(func() { s.empty(ctx, p) })
}

// Rejoin ends what LameDuck began: who has not been told to move stays.
func (s *Server) Rejoin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rejoined != nil {
		s.rejoined()
		s.leaving, s.rejoined = false, nil
	}
}

// empty moves what stands by the plan, until ctx ends. If that never does, it returns
// once nobody is left and nobody comes any more; else who comes late is moved too.
func (s *Server) empty(ctx context.Context, p DrainPlan) {
	begun, due := time.Now(), 0.0 // moves that the pace allows by now
	last := p.EndAt.Add(-parted)
	until, forGood := earlier(p.MoveEndAt, last), ctx.Done() == nil
	tick := time.NewTicker(step)
	defer tick.Stop()
	for now := begun; now.Before(p.EndAt); {
		standing, resting, others := s.standing()
		if quiet := len(standing)+others == 0 && now.Sub(begun) > arrivals; forGood {
			if quiet && resting == 0 {
				return
			}
			if quiet && !now.Before(p.RejectAt) || !now.Before(last) {
				s.lastCall()
			}
		}
		n := len(standing)
		if p.Successor != nil {
			for _, t := range standing {
				t.HandOver(p.Successor)
			}
			n = 0
		} else if now.Before(p.MoveStartAt) {
			n = 0
		} else if left := until.Sub(now); left > step {
			due += float64(n) * step.Seconds() / left.Seconds()
			n = min(n, int(due))
			due -= float64(n)
		}
		s.move(ctx, standing[:n])
		select {
		case <-ctx.Done():
			return
		case now = <-tick.C:
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// move asks connections to go, unless the emptying has ended: under the lock, so that
// none goes after Rejoin has returned.
func (s *Server) move(ctx context.Context, standing []*proxy.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	for _, t := range standing {
		t.Migrate()
	}
}

// lastCall has all who rest seen off, as are those who come from now on, and gives up what
// is not answered yet.
func (s *Server) lastCall() {
	var left []*proxy.Session
	s.mu.Lock()
	s.over = true
	for e := s.resting.Front(); e != nil; e = s.resting.Front() {
		s.part(e.Value.(*visitor))
	}
	for t, submitted := range s.running {
		if submitted { // else submitted sees to it
			left = append(left, t)
		}
	}
	s.mu.Unlock()
	for _, t := range left {
		t.GiveUp()
	}
}

// standing lists the connections that stand and were not told to move, and counts the
// callers that have not opened anything and all other legs: also those that have their last
// answer and are read out.
func (s *Server) standing() (list []*proxy.Session, resting, others int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for t := range s.running {
		if t.IsEstablished() {
			list = append(list, t)
		}
	}
	resting = s.resting.Len()
	return list, resting, len(s.legs) - resting - len(list)
}
