package downstream

import (
	"context"
	"time"

	"coralrelay/internal/proxy"
)

const (
	// step is the pace of the moves while the node is emptied.
	drainInterval = 20 * time.Millisecond
	// arrivals is how long callers keep coming after the node began to leave.
	arrivalWindow = 600 * time.Millisecond
	// parted is what all take who are told to go at last: a step, a write and the read-out.
	finalAnswerTime = lingerTimeout + 2*drainInterval
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
func (s *Server) StartDraining(rejectAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelLameDuck != nil { // what an operator began goes on by another plan
		s.cancelLameDuck()
		s.cancelLameDuck = nil
	}
	s.draining, s.rejectAt, s.accepting, s.shuttingDown = true, rejectAt, false, true
}

// Drain empties the node for good. It returns when all are gone, or at the plan's end.
func (s *Server) Drain(plan DrainPlan) {
	s.StartDraining(plan.RejectAt)
	s.mu.Lock()
	s.drainEndAt = plan.EndAt
	s.mu.Unlock()
	s.runDrain(context.Background(), plan)
}

// LameDuck empties the node until Rejoin. It returns at once, and changes nothing if
// the node is being emptied already.
func (s *Server) LameDuck(plan DrainPlan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.draining, s.rejectAt, s.cancelLameDuck = true, plan.RejectAt, cancel
	s.wg.Go(func() { s.runDrain(ctx, plan) })
}

// Rejoin ends what LameDuck began: who has not been told to move stays.
func (s *Server) Rejoin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelLameDuck != nil {
		s.cancelLameDuck()
		s.draining, s.cancelLameDuck = false, nil
	}
}

// empty moves what stands by the plan, until ctx ends. If that never does, it returns
// once nobody is left and nobody comes any more; else who comes late is moved too.
func (s *Server) runDrain(ctx context.Context, plan DrainPlan) {
	startedAt, migrationsDue := time.Now(), 0.0 // moves that the pace allows by now
	rejectRemainingAt := plan.EndAt.Add(-finalAnswerTime)
	moveEndAt, shuttingDown := earlier(plan.MoveEndAt, rejectRemainingAt), ctx.Done() == nil
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for now := startedAt; now.Before(plan.EndAt); {
		established, idle, others := s.surveyClients()
		if noArrivals := len(established)+others == 0 && now.Sub(startedAt) > arrivalWindow; shuttingDown {
			if noArrivals && idle == 0 {
				return
			}
			if noArrivals && !now.Before(plan.RejectAt) || !now.Before(rejectRemainingAt) {
				s.rejectRemaining()
			}
		}
		count := len(established)
		if plan.Successor != nil {
			for _, session := range established {
				session.HandOver(plan.Successor)
			}
			count = 0
		} else if now.Before(plan.MoveStartAt) {
			count = 0
		} else if timeLeft := moveEndAt.Sub(now); timeLeft > drainInterval {
			migrationsDue += float64(count) * drainInterval.Seconds() / timeLeft.Seconds()
			count = min(count, int(migrationsDue))
			migrationsDue -= float64(count)
		}
		s.migrate(ctx, established[:count])
		select {
		case <-ctx.Done():
			return
		case now = <-ticker.C:
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
func (s *Server) migrate(ctx context.Context, sessions []*proxy.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	for _, session := range sessions {
		session.Migrate()
	}
}

// lastCall has all who rest seen off, as are those who come from now on, and gives up what
// is not answered yet.
func (s *Server) rejectRemaining() {
	var unanswered []*proxy.Session
	s.mu.Lock()
	s.rejectUnread = true
	for element := s.idle.Front(); element != nil; element = s.idle.Front() {
		s.evict(element.Value.(*pendingClient))
	}
	for session, submitted := range s.sessions {
		if submitted { // else submitted sees to it
			unanswered = append(unanswered, session)
		}
	}
	s.mu.Unlock()
	for _, session := range unanswered {
		session.GiveUp()
	}
}

// standing lists the connections that stand and were not told to move, and counts the
// callers that have not opened anything and all other legs: also those that have their last
// answer and are read out.
func (s *Server) surveyClients() (established []*proxy.Session, idle, others int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for session := range s.sessions {
		if session.IsEstablished() {
			established = append(established, session)
		}
	}
	idle = s.idle.Len()
	return established, idle, len(s.clients) - idle - len(established)
}
