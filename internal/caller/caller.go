// Package caller is the clients' side: it listens, answers PING, reads first
// lines and gives each caller leg to its transaction.
package caller

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"coralrelay/internal/exchange"
	"coralrelay/internal/leg"
	"coralrelay/internal/line"
)

const (
	// firstLine is how long a caller may take to send its first line.
	firstLine = 5 * time.Second
	// margin is kept back from a caller's deadline: its clock started when it
	// sent the line, and the answer still has to reach it.
	margin = 25 * time.Millisecond
	// writing is how long a short answer may block.
	writing = time.Second
)

// Decider takes transactions; each is then owed one final answer.
type Decider interface {
	exchange.Watcher
	Submit(t *exchange.Transaction)
}

// Server serves callers.
type Server struct {
	decider Decider
	sockets int // that may be in use; beyond it a busy answer

	mu       sync.Mutex
	draining bool
	running  map[*exchange.Transaction]struct{}
	legs     map[net.Conn]struct{}
	wg       sync.WaitGroup
}

// New returns a Server that uses so many sockets: one for a caller, and one more
// for its branch.
func New(d Decider, sockets int) *Server {
	return &Server{decider: d, sockets: sockets, running: map[*exchange.Transaction]struct{}{},
		legs: map[net.Conn]struct{}{}}
}

// Serve accepts callers until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			s.wg.Go(func() { s.serve(conn) })
		case errors.Is(err, net.ErrClosed):
			return nil
		default: // out of sockets, most likely: others must end first
			slog.Error("accept", "err", err)
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// serve reads first lines until one opens a connection.
func (s *Server) serve(conn net.Conn) {
	l := leg.New(conn)
	if !s.hold(conn) {
		// Callers that say nothing would use up the sockets unnoticed.
		s.answer(l, line.Front{}.Busy(0))
		return
	}
	defer s.letGo(conn) // a transaction closes its leg itself
	for {
		text, err := l.ReadText(time.Now().Add(firstLine))
		switch {
		case err != nil && l.R.Buffered() == 0:
			l.Release() // gone without a word
			return
		case err != nil:
			s.reject(l, err)
			return
		case string(text) == line.Ping:
			if err := l.WriteText(line.Pong, time.Now().Add(writing)); err != nil {
				l.Release()
				return
			}
			continue
		}
		open, err := line.ParseOpen(text)
		if err != nil {
			s.reject(l, err)
			return
		}
		s.open(l, open)
		return
	}
}

// open runs a transaction to its end.
func (s *Server) open(l *leg.Leg, o line.Open) {
	_ = l.SetReadDeadline(time.Time{})
	t := exchange.New(exchange.Request{ID: o.ID, Class: o.Class, Key: o.Key, Group: o.Group, At: o.At,
		Hint: o.Hint, Retry: o.Retry, Returned: o.Again, Deadline: time.Now().Add(o.Wait - margin)},
		&o, line.Front{}, s.decider, l)
	if s.admit(t) {
		s.decider.Submit(t)
	} else {
		t.Refuse(0)
	}
	t.Run()
	s.mu.Lock()
	delete(s.running, t)
	s.mu.Unlock()
}

// admit tells whether there is room for t. While the node drains there is none.
func (s *Server) admit(t *exchange.Transaction) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || s.used() >= s.sockets {
		return false
	}
	s.running[t] = struct{}{}
	return true
}

// reject answers a first line that is none, and ends the leg.
func (s *Server) reject(l *leg.Leg, err error) {
	slog.Warn("first line rejected", "from", l.RemoteAddr().String(), "err", err)
	s.answer(l, line.Error)
}

// answer writes a leg's only answer and ends it.
func (s *Server) answer(l *leg.Leg, text string) {
	_ = l.WriteText(text, time.Now().Add(writing))
	l.FinishWrites()
	_ = l.SetReadDeadline(time.Now().Add(writing / 4))
	l.Drain()
	l.Release()
}

// hold keeps conn among those that are closed at the end. It is false if there
// are too many.
func (s *Server) hold(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.used() >= s.sockets {
		return false
	}
	s.legs[conn] = struct{}{}
	return true
}

// used counts the sockets in use, under the lock.
func (s *Server) used() int { return len(s.legs) + len(s.running) }

func (s *Server) letGo(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.legs, conn)
}
