package downstream

import (
	"context"
	"time"

	"coralrelay/internal/proxy"
)

const (
	// drainInterval is how often a drain checks the sessions.
	drainInterval = 20 * time.Millisecond
	// arrivalWindow is how long new clients keep arriving after a drain has begun.
	arrivalWindow = 600 * time.Millisecond
	// finalAnswerTime is how long it takes to reject clients at the end of a drain: one interval
	// until the check, a write and the lingering close.
	finalAnswerTime = lingerTimeout + 2*drainInterval
)

// DrainPlan is the schedule of a drain. The established sessions are migrated at an even rate
// between MoveStartAt and MoveEndAt; sessions that are established later are migrated at once.
type DrainPlan struct {
	RejectAt    time.Time // new requests are rejected from then on
	MoveStartAt time.Time
	MoveEndAt   time.Time
	// EndAt is when the drain stops waiting. From finalAnswerTime before it, which leaves time for
	// one lingering close, all established sessions are migrated at once, and a permanent drain
	// gives idle clients and unanswered sessions their last answer.
	EndAt time.Time
	// Successor takes over the sessions that are established, now or later, in place of migrations;
	// nil if there is none.
	Successor proxy.Successor
}

// StartDraining starts to drain the server permanently: requests that arrive after rejectAt are
// rejected. Drain must be called afterwards.
func (s *Server) StartDraining(rejectAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelLameDuck != nil { // the permanent drain has its own plan
		s.cancelLameDuck()
		s.cancelLameDuck = nil
	}
	s.draining, s.rejectAt = true, rejectAt
	s.accepting, s.shuttingDown = false, true
}

// Drain drains the server permanently. It returns when no clients are left and no more arrive, or
// at the end of the plan.
func (s *Server) Drain(plan DrainPlan) {
	s.StartDraining(plan.RejectAt)
	s.mu.Lock()
	s.drainEndAt = plan.EndAt
	s.mu.Unlock()
	s.runDrain(context.Background(), plan)
}

// LameDuck drains the server until Rejoin. It returns immediately, and does nothing if the server
// is already draining.
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

// Rejoin ends the drain that LameDuck started. Sessions that were not migrated before it returns
// stay.
func (s *Server) Rejoin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelLameDuck != nil {
		s.cancelLameDuck()
		s.draining, s.cancelLameDuck = false, nil
	}
}

// runDrain migrates the sessions according to the plan until ctx is cancelled or the plan ends. A
// ctx that is never cancelled means a shutdown: runDrain then returns as soon as no clients are
// left and no more arrive. Otherwise it runs to the end of the plan, so that sessions established
// late are migrated too.
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
		established, idle, others := s.classifyClients()
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

// migrationPace spreads migrations evenly over an interval.
type migrationPace struct {
	startAt, endAt time.Time
	due            float64 // migrations that are due by now but have not been made
}

// next returns how many of the established sessions are to be migrated at the time now. It must be
// called once per drainInterval.
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

// migrate migrates sessions, unless the drain was cancelled. It holds s.mu, so that no session is
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

// rejectRemaining evicts all idle clients and every client that connects from now on, and gives up
// the sessions that have not been answered.
func (s *Server) rejectRemaining() {
	var submitted []*proxy.Session
	s.mu.Lock()
	s.rejectUnread = true
	for element := s.idle.Front(); element != nil; element = s.idle.Front() {
		s.evict(element.Value.(*pendingClient))
	}
	for session, isSubmitted := range s.sessions {
		if isSubmitted { // otherwise markSubmitted gives it up
			submitted = append(submitted, session)
		}
	}
	s.mu.Unlock()
	for _, session := range submitted {
		session.GiveUp()
	}
}

// classifyClients returns the established sessions that are neither being migrated nor handed over,
// and counts the idle clients and all others, including lingering ones.
func (s *Server) classifyClients() (established []*proxy.Session, idle, others int) {
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
