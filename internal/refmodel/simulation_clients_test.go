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

// classes have every kind of idempotency. Retry windows are so short that many end while an attempt
// is in flight, or while its connect is.
var classes = []balance.Class{
	{Name: "feed"},
	{Name: "once", Idempotency: balance.NonIdempotent},
	{Name: "keyed", Idempotency: balance.IdempotencyKeyed, KeyWindow: 80 * ms},
	{Name: "zoned", Idempotency: balance.IdempotencyKeyed, KeyScope: balance.ScopeZone, KeyWindow: 200 * ms},
	{Name: "celled", Idempotency: balance.IdempotencyKeyed, KeyScope: balance.ScopeCell, KeyWindow: 200 * ms},
}

// retriesOf is what the checker has to know of a class.
func (s *simulation) retriesOf(c balance.Class) refmodel.RetryPolicy {
	r := refmodel.RetryPolicy{Forbidden: c.Idempotency == balance.NonIdempotent}
	if c.Idempotency != balance.IdempotencyKeyed {
		return r
	}
	r.Within = c.KeyWindow
	switch c.KeyScope { // the place of a server never changes
	case balance.ScopeZone:
		r.AllowedOn = func(ran, to string) bool { return s.servers[ran].endpoint.Zone == s.servers[to].endpoint.Zone }
	case balance.ScopeCell:
		r.AllowedOn = func(ran, to string) bool { return s.servers[ran].endpoint.Cell == s.servers[to].endpoint.Cell }
	}
	return r
}

// runClient is one request, as its client sees it.
func (s *simulation) runClient(leaves bool) {
	s.mu.Lock()
	s.lastID++
	id := fmt.Sprint("r", s.lastID)
	class := classes[0]
	if s.rng.IntN(2) == 0 {
		class = classes[1+s.rng.IntN(len(classes)-1)]
	}
	s.mu.Unlock()
	wait := 200*ms + s.randomDuration(800*ms)
	near, far := net.Pipe()
	defer far.Close()
	s.record(func(c *refmodel.Checker, now time.Duration) { c.RequestArrived(now, id, now+wait, s.retriesOf(class)) })
	s.clientConns <- &sharedConn{Conn: near}
	if _, err := fmt.Fprintf(far, "OPEN %s k c=%s,d=%d\r\n", id, class.Name, wait.Milliseconds()); err != nil {
		s.t.Errorf("%s: %v", id, err)
	}
	if leaves {
		gone := time.AfterFunc(s.randomDuration(100*ms), func() {
			s.record(func(c *refmodel.Checker, now time.Duration) { c.ClientLeft(now, id) })
			far.Close()
		})
		defer gone.Stop()
	}
	standing := false
	defer func() {
		s.mu.Lock()
		delete(s.openSince, id)
		s.mu.Unlock()
	}()
	for lines := bufio.NewScanner(far); lines.Scan(); {
		switch word, _, _ := strings.Cut(lines.Text(), " "); {
		case standing:
			if lines.Text() == "MOVE" || lines.Text() == "BYE" {
				return // pipes can't be half closed: the client need not wait for the end
			}
			if lines.Text() == "yes" {
				time.Sleep(300 * ms)
				s.sendLine(far)
			}
		case word == "UP":
			standing = true
			s.mu.Lock()
			s.openSince[id] = time.Now()
			s.mu.Unlock()
			s.recordAnswer(id, class.Name, "served", refmodel.Served)
			s.sendLine(far)
		case word == "BUSY":
			s.recordAnswer(id, class.Name, "refused", refmodel.Refused)
		default:
			s.recordAnswer(id, class.Name, "failed", refmodel.Failed)
		}
	}
}

// sendLine writes a client's line while the client goes on reading: sockets have buffers and pipes
// have none.
func (s *simulation) sendLine(far net.Conn) {
	s.background.Go(func() {
		_ = far.SetWriteDeadline(time.Now().Add(time.Second))
		fmt.Fprintf(far, "are you there\r\n")
	})
}

// recordAnswer reports a final answer to the checker and counts it.
func (s *simulation) recordAnswer(id, class, how string, a refmodel.Answer) {
	s.record(func(c *refmodel.Checker, now time.Duration) {
		c.RequestAnswered(now, id, a)
		s.answers[how]++
		s.answersByClass[class+how]++
	})
}
