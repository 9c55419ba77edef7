package caller

import (
	"context"
	"time"

	"coralrelay/internal/exchange"
)

const (
	// step is the pace of the moves while the node is emptied.
	step = 20 * time.Millisecond
	// arrivals is how long callers keep coming after the node began to leave.
	arrivals = 600 * time.Millisecond
)

// Plan says how the node is emptied. Every standing connection is moved, evenly
// between two times, those that come up later at once.
type Plan struct {
	Refuse      time.Time // newcomers get the busy answer from then on
	From, Until time.Time
	End         time.Time // when there is no more time to wait for who is left
	// Heir is a process that goes on with what stands, and with what comes up later, in
	// place of all moves; nil if there is none.
	Heir exchange.Heir
}

// Drain empties the node for good. It returns when all are gone, or at the plan's end.
func (s *Server) Drain(p Plan) {
	s.mu.Lock()
	if s.rejoined != nil { // what an operator began goes on by this plan
		s.rejoined()
		s.rejoined = nil
	}
	s.leaving, s.refuseAt, s.accepts, s.ended = true, p.Refuse, false, true
	s.mu.Unlock()
	s.empty(context.Background(), p)
}

// LameDuck empties the node until Rejoin. It returns at once, and changes nothing if
// the node is being emptied already.
func (s *Server) LameDuck(p Plan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.leaving, s.refuseAt, s.rejoined = true, p.Refuse, cancel
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
func (s *Server) empty(ctx context.Context, p Plan) {
	begun, due := time.Now(), 0.0 // moves that the pace allows by now
	tick := time.NewTicker(step)
	defer tick.Stop()
	for now := begun; now.Before(p.End); {
		standing, waiting := s.standing()
		if ctx.Done() == nil && len(standing) == 0 && waiting == 0 && now.Sub(begun) > arrivals {
			return
		}
		n := len(standing)
		if p.Heir != nil {
			for _, t := range standing {
				t.Yield(p.Heir)
			}
			n = 0
		} else if now.Before(p.From) {
			n = 0
		} else if left := p.Until.Sub(now); left > step {
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

// move asks connections to go, unless the emptying has ended: under the lock, so that
// none goes after Rejoin has returned.
func (s *Server) move(ctx context.Context, standing []*exchange.Transaction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	for _, t := range standing {
		t.Move()
	}
}

// Close ends every leg that is left and waits for the goroutines that served
// them. The listener must be closed before.
func (s *Server) Close() {
	s.mu.Lock()
	for conn := range s.legs {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// standing lists the connections that stand and were not told to move, and
// counts the other transactions, and the callers that may still open one.
func (s *Server) standing() (list []*exchange.Transaction, others int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for t := range s.running {
		if t.Standing() {
			list = append(list, t)
		} else {
			others++
		}
	}
	if time.Now().Before(s.refuseAt) {
		others += s.waiting.Len()
	}
	return list, others
}
