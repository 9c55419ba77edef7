package downstream

import (
	"context"
	"time"

	"coralrelay/internal/proxy"
)

const (
	// drainInterval is how often a drain looks at the sessions.
	drainInterval = 20 * time.Millisecond
	// arrivalWindow is how long clients keep arriving after a drain has begun.
	arrivalWindow = 600 * time.Millisecond
	// finalAnswerTime is what clients take that are rejected at the end of a drain: an
	// interval until it looks, a write and the lingering close.
	finalAnswerTime = lingerTimeout + 2*drainInterval
)

// DrainPlan says how the server is emptied. The established sessions are migrated evenly
// between MoveStartAt and MoveEndAt, those that are established later at once.
type DrainPlan struct {
	RejectAt    time.Time // newcomers are rejected from then on
	MoveStartAt time.Time
	MoveEndAt   time.Time
	// EndAt is when the drain waits no longer. One lingering close before it, idle clients
	// and unanswered sessions get their last answer, and established ones are migrated.
	EndAt time.Time
	// Successor takes over the sessions that are established, now or later, in place of all
	// migrations; nil if there is none.
	Successor proxy.Successor
}

// StartDraining begins to empty the server for good: what arrives on clients' connections
// after rejectAt is rejected. Drain has to follow.
func (s *Server) StartDraining(rejectAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelLameDuck != nil { // what an operator began goes on by another plan
		s.cancelLameDuck()
		s.cancelLameDuck = nil
	}
	s.draining, s.rejectAt = true, rejectAt
	s.accepting, s.shuttingDown = false, true
}

// Drain empties the server for good. It returns when no client is left and none arrives
// any more, or at the end of the plan.
func (s *Server) Drain(plan DrainPlan) {
	s.StartDraining(plan.RejectAt)
	s.mu.Lock()
	s.drainEndAt = plan.EndAt
	s.mu.Unlock()
	s.runDrain(context.Background(), plan)
}

// LameDuck empties the server until Rejoin. It returns at once, and changes nothing if the
// server is draining already.
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

// Rejoin ends what LameDuck began: sessions that were not migrated before it returns stay.
func (s *Server) Rejoin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelLameDuck != nil {
		s.cancelLameDuck()
		s.draining, s.cancelLameDuck = false, nil
	}
}

// runDrain migrates the sessions by the plan, until ctx ends or the plan does. With a ctx
// that never ends, which is a shutdown, it returns once no client is left and none arrives
// any more; else late sessions are migrated too.
func (s *Server) runDrain(ctx context.Context, plan DrainPlan) {
	startedAt := time.Now()
	rejectRemainingAt := plan.EndAt.Add(-finalAnswerTime)
	isShutdown := ctx.Done() == nil
	pace := migrationPace{startAt: plan.MoveStartAt, endAt: plan.MoveEndAt}
	if rejectRemainingAt.Before(pace.endAt) {
		pace.endAt = rejectRemainingAt
	}
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for now := startedAt; now.Before(plan.EndAt); {
		established, idle, others := s.surveyClients()
		if isShutdown {
			onlyIdle := len(established)+others == 0 && now.Sub(startedAt) > arrivalWindow
			if onlyIdle && idle == 0 {
				return
			}
			if onlyIdle && !now.Before(plan.RejectAt) || !now.Before(rejectRemainingAt) {
				s.rejectRemaining()
			}
		}
		if plan.Successor != nil {
			for _, session := range established {
				session.HandOver(plan.Successor)
			}
		} else {
			s.migrate(ctx, established[:pace.next(now, len(established))])
		}
		select {
		case <-ctx.Done():
			return
		case now = <-ticker.C:
		}
	}
}

// migrationPace spreads migrations evenly over a time.
type migrationPace struct {
	startAt, endAt time.Time
	due            float64 // migrations that the pace allows by now and that were not made
}

// next returns how many of the established sessions are to be migrated at the time now. It
// is called once each drainInterval.
func (p *migrationPace) next(now time.Time, established int) int {
	if now.Before(p.startAt) {
		return 0
	}
	timeLeft := p.endAt.Sub(now)
	if timeLeft <= drainInterval {
		return established
	}
	p.due += float64(established) * drainInterval.Seconds() / timeLeft.Seconds()
	count := min(established, int(p.due))
	p.due -= float64(count)
	return count
}

// migrate migrates sessions, unless the drain was cancelled: under the lock, so that none is
// migrated after Rejoin has returned.
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

// rejectRemaining evicts all idle clients, as are those that arrive from now on, and gives
// up the sessions that are not answered yet.
func (s *Server) rejectRemaining() {
	var submitted []*proxy.Session
	s.mu.Lock()
	s.rejectUnread = true
	for element := s.idle.Front(); element != nil; element = s.idle.Front() {
		s.evict(element.Value.(*pendingClient))
	}
	for session, isSubmitted := range s.sessions {
		if isSubmitted { // else markSubmitted gives it up
			submitted = append(submitted, session)
		}
	}
	s.mu.Unlock()
	for _, session := range submitted {
		session.GiveUp()
	}
}

// surveyClients lists the established sessions that are not migrated, and counts the idle
// clients and all others, lingering ones included.
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
