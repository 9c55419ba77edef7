package caller

import (
	"time"

	"coralrelay/internal/exchange"
)

const (
	// step is the pace of the moves at a planned restart.
	step = 20 * time.Millisecond
	// arrivals is how long callers keep coming after the restart was asked for.
	arrivals = 600 * time.Millisecond
)

// Drain lets the node end: new callers get a busy answer at once, what waits is
// answered, and every standing connection is moved, evenly between the two given
// times, those that come up later at once. Nobody is moved before: a caller that
// is moved while the front still sends here comes back to a busy answer. It
// returns when all are gone or at the end.
func (s *Server) Drain(from, until, end time.Time) {
	begun := time.Now()
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	told := map[*exchange.Transaction]bool{}
	tick := time.NewTicker(step)
	defer tick.Stop()
	for now := begun; now.Before(end); now = <-tick.C {
		standing, waiting := s.standing(told)
		if len(standing) == 0 && waiting == 0 && now.Sub(begun) > arrivals {
			break
		}
		n := len(standing)
		if now.Before(from) {
			n = 0
		} else if left := until.Sub(now); left > step {
			n = int((time.Duration(n)*step + left - 1) / left)
		}
		for _, t := range standing[:n] {
			told[t] = true
			t.Move()
		}
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
// counts the other transactions.
func (s *Server) standing(told map[*exchange.Transaction]bool) (list []*exchange.Transaction, others int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for t := range s.running {
		if t.Standing() && !told[t] {
			list = append(list, t)
		} else {
			others++
		}
	}
	return list, others
}
