package refmodel_test

// The clients of a simulation.

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/refmodel"
)

// classes cover every kind of idempotency. Their retry windows are so short that many end while an attempt
// is in flight or connecting.
var classes = []balance.Class{
	{Name: "feed"},
	{Name: "once", Idempotency: balance.NonIdempotent},
	{Name: "keyed", Idempotency: balance.IdempotencyKeyed, KeyWindow: 80 * ms},
	{Name: "zoned", Idempotency: balance.IdempotencyKeyed, KeyScope: balance.ScopeZone, KeyWindow: 200 * ms},
	{Name: "celled", Idempotency: balance.IdempotencyKeyed, KeyScope: balance.ScopeCell, KeyWindow: 200 * ms},
}

// retryPolicyOf returns the checker's retry policy for a class.
func (s *simulation) retryPolicyOf(c balance.Class) refmodel.RetryPolicy {
	policy := refmodel.RetryPolicy{Forbidden: c.Idempotency == balance.NonIdempotent}
	if c.Idempotency != balance.IdempotencyKeyed {
		return policy
	}
	policy.Within = c.KeyWindow
	switch c.KeyScope { // the zone and cell of a server never change
	case balance.ScopeZone:
		policy.AllowedOn = func(ran, to string) bool { return s.servers[ran].endpoint.Zone == s.servers[to].endpoint.Zone }
	case balance.ScopeCell:
		policy.AllowedOn = func(ran, to string) bool { return s.servers[ran].endpoint.Cell == s.servers[to].endpoint.Cell }
	}
	return policy
}

// runClient sends one request and reports to the checker what its client observes.
func (s *simulation) runClient(leavesEarly bool) {
	s.mu.Lock()
	s.lastID++
	id := fmt.Sprint("r", s.lastID)
	class := classes[0]
	if s.rng.IntN(2) == 0 {
		class = classes[1+s.rng.IntN(len(classes)-1)]
	}
	s.mu.Unlock()
	timeout := 200*ms + s.randomDuration(800*ms)
	nodeConn, clientConn := net.Pipe()
	defer clientConn.Close()
	s.record(func(c *refmodel.Checker, now time.Duration) {
		c.RequestArrived(now, id, now+timeout, s.retryPolicyOf(class))
	})
	s.clientConns <- &sharedConn{Conn: nodeConn}
	if _, err := fmt.Fprintf(clientConn, "OPEN %s k c=%s,d=%d\r\n", id, class.Name, timeout.Milliseconds()); err != nil {
		s.t.Errorf("%s: %v", id, err)
	}
	if leavesEarly {
		leaveTimer := time.AfterFunc(s.randomDuration(100*ms), func() {
			s.record(func(c *refmodel.Checker, now time.Duration) { c.ClientLeft(now, id) })
			clientConn.Close()
		})
		defer leaveTimer.Stop()
	}
	established := false
	defer func() {
		s.mu.Lock()
		delete(s.openSince, id)
		s.mu.Unlock()
	}()
	for lines := bufio.NewScanner(clientConn); lines.Scan(); {
		switch command, _, _ := strings.Cut(lines.Text(), " "); {
		case established:
			if lines.Text() == "MOVE" || lines.Text() == "BYE" {
				return // pipes can't be half closed: the client closes without waiting for the other side
			}
			if lines.Text() == "yes" {
				time.Sleep(300 * ms)
				s.sendLine(clientConn)
			}
		case command == "UP":
			established = true
			s.mu.Lock()
			s.openSince[id] = time.Now()
			s.mu.Unlock()
			s.recordAnswer(id, class.Name, "served", refmodel.Served)
			s.sendLine(clientConn)
		case command == "BUSY":
			s.recordAnswer(id, class.Name, "refused", refmodel.Refused)
		default:
			s.recordAnswer(id, class.Name, "failed", refmodel.Failed)
		}
	}
}

// sendLine writes a client's line in the background, so that the client goes on reading: unlike sockets,
// pipes have no buffers.
func (s *simulation) sendLine(clientConn net.Conn) {
	s.background.Go(func() {
		_ = clientConn.SetWriteDeadline(time.Now().Add(time.Second))
		fmt.Fprintf(clientConn, "are you there\r\n")
	})
}

// recordAnswer reports a final answer to the checker and counts it.
func (s *simulation) recordAnswer(id, class, name string, answer refmodel.Answer) {
	s.record(func(c *refmodel.Checker, now time.Duration) {
		c.RequestAnswered(now, id, answer)
		s.answers[name]++
		s.answersByClass[class+name]++
	})
}
