// Package caller is the clients' side: it listens, answers PING, reads first
// lines and gives each caller leg to its transaction.
package caller

import (
	"container/list"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"coralrelay/internal/decide"
	"coralrelay/internal/exchange"
	"coralrelay/internal/figures"
	"coralrelay/internal/leg"
	"coralrelay/internal/line"
	"coralrelay/internal/tally"
)

const (
	// firstLine is how long a caller may take from its connect to the end of its
	// first line, whatever it sends meanwhile: it is owed an answer within 3 s.
	firstLine = 2 * time.Second
	// pings is how many PINGs are answered on one connection: a front asks once
	// or twice, and an answer costs more than a question.
	pings = 16
	// margin is kept back from a caller's deadline: its clock started when it
	// sent the line, and the answer still has to reach it.
	margin = 25 * time.Millisecond
	// longestWait bounds what a caller may ask for: a connection that its next hop
	// still holds is lost after 40 s, and usual ones are given up far sooner.
	longestWait = 40 * time.Second
	// writing is how long a short answer may block.
	writing = time.Second
	// linger is how long a caller may take to end after a bad line's error.
	linger = 250 * time.Millisecond
)

// Decider takes transactions; each is then owed one final answer. *decide.Core does.
type Decider interface {
	exchange.Watcher
	Submit(item decide.Item, b decide.Branches)
	Adopt(item decide.Item, server string) bool // of one that stands there already
}

// Continuities gives a caller that asks for it what lets it go on where it was
// when it is moved; nil if nothing does.
type Continuities interface {
	Continuity(o *line.Open) exchange.Continuity
}

// Limits bound what callers may use.
type Limits struct {
	Sockets int           // that may be in use: one for a caller, one more for its branch
	Pause   time.Duration // asked of callers who are refused unseen; 0 if none may be
	// Elsewhere is how many of them a process beside this one uses; nil where there can
	// be none. It returns at once.
	Elsewhere func() int
}

// Server serves callers.
type Server struct {
	Continuities Continuities  // nil where it is not switched on; set before Serve
	Figures      *figures.Book // nil if nobody asks; set before Serve

	decider  Decider
	branches decide.Branches // to next hops of the line protocol
	limits   Limits
	pause    atomic.Int64 // limits.Pause, which may change
	bad      tally.Tally
	failed   tally.Tally

	mu       sync.Mutex
	accepts  bool      // Serve runs
	leaving  bool      // the node is being emptied
	ended    bool      // for good: nothing is taken any more
	refuseAt time.Time // while it is: newcomers get the busy answer from then on
	rejoined func()    // ends the emptying that can be ended; nil without one
	running  map[*exchange.Transaction]struct{}
	legs     map[net.Conn]struct{}
	waiting  list.List // of net.Conn: legs that have not opened anything, the oldest first
	wg       sync.WaitGroup
}

// New returns a Server that keeps to the limits.
func New(d Decider, b decide.Branches, l Limits) *Server {
	s := &Server{decider: d, branches: b, limits: l, running: map[*exchange.Transaction]struct{}{},
		legs: map[net.Conn]struct{}{}}
	s.SetPause(l.Pause)
	return s
}

// SetPause changes what callers who are refused unseen are asked to wait.
func (s *Server) SetPause(d time.Duration) { s.pause.Store(int64(d)) }

// Sockets is how many are in use, or may be.
func (s *Server) Sockets() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.legs) + len(s.running)
}

// Open counts the connections that were taken and have not ended.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.running)
}

// Serve accepts callers until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.accepts = true
	s.mu.Unlock()
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			s.wg.Go(func() { s.serve(conn, time.Now().Add(firstLine)) })
		case errors.Is(err, net.ErrClosed):
			return nil
		default: // out of sockets, most likely: others must end first
			s.failed.Warn("accept", "err", err)
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// serve reads lines until one opens a connection, or until the deadline. A
// transaction closes its leg itself.
func (s *Server) serve(conn net.Conn, deadline time.Time) {
	place := s.hold(conn, deadline)
	defer s.letGo(conn, place)
	l := leg.New(conn)
	for asked := 0; ; asked++ {
		text, err := l.NextText()
		switch {
		case err != nil && l.R.Buffered() == 0: // not a word
			if errors.Is(err, os.ErrDeadlineExceeded) {
				_ = l.WriteText(s.busy(), time.Now().Add(writing))
			}
			l.Release()
			return
		case err != nil:
			s.reject(l, err)
			return
		case string(text) == line.Ping && asked < pings:
			answer := line.Pong
			if !s.TakesClients() {
				answer = s.busy()
			}
			if err := l.WriteText(answer, deadline); err != nil {
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
		s.open(l, place, open)
		return
	}
}

// open runs a transaction to its end.
func (s *Server) open(l *leg.Leg, place *list.Element, o line.Open) {
	t := exchange.New(exchange.Request{ID: o.ID, Class: o.Class, Key: o.Key, Group: o.Group, Tenant: o.Realm, At: o.At,
		Hint: o.Hint, Retry: o.Retry, Returned: o.Again, Deadline: time.Now().Add(min(o.Wait, longestWait) - margin)},
		&o, line.Front{}, s.decider, l)
	if s.Continuities != nil && o.Resume != "" {
		t.Continuity = s.Continuities.Continuity(&o)
	}
	t.Figures = s.Figures.Class(o.Class)
	admitted := s.admit(t, place)
	_ = l.SetReadDeadline(time.Time{}) // it can't be told to make room any more
	if admitted {
		s.decider.Submit(t, s.branches)
	} else {
		t.Refuse(time.Duration(s.pause.Load()))
	}
	t.Run()
	s.mu.Lock()
	delete(s.running, t)
	s.mu.Unlock()
}

// TakesClients tells whether newcomers are welcome.
func (s *Server) TakesClients() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepts && !s.leaving
}

// Adopt goes on with what another process has handed over. If it is false the
// connections stay the giver's.
func (s *Server) Adopt(st exchange.Standing, caller, hop net.Conn) bool {
	t := exchange.Inherit(st, line.Front{}, s.decider, caller, hop)
	t.Figures = s.Figures.Class(st.Class)
	s.mu.Lock()
	ended := s.ended
	if !ended {
		s.legs[caller] = struct{}{}
		s.running[t] = struct{}{}
		s.wg.Add(1)
	}
	s.mu.Unlock()
	if ended {
		return false
	}
	if !s.decider.Adopt(t, st.Server) {
		s.mu.Lock()
		delete(s.legs, caller)
		delete(s.running, t)
		s.mu.Unlock()
		s.wg.Done()
		return false
	}
	go func() {
		defer s.wg.Done()
		t.Run()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.legs, caller)
		delete(s.running, t)
	}()
	return true
}

// admit tells whether there is room for t, which the oldest callers that wait
// have to make. While the node is emptied there is none, but for who is still sent
// here because the news is not out.
func (s *Server) admit(t *exchange.Transaction, place *list.Element) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting.Remove(place)
	if s.leaving && !time.Now().Before(s.refuseAt) || !s.room() {
		return false
	}
	s.running[t] = struct{}{}
	return true
}

// reject answers a first line that is none, and ends the leg.
func (s *Server) reject(l *leg.Leg, err error) {
	s.bad.Warn("first line rejected", "from", l.RemoteAddr().String(), "err", err)
	l.Farewell(line.Error, time.Now().Add(writing), linger)
}

// busy words the busy answer to who is refused unseen.
func (s *Server) busy() string { return line.Front{}.Busy(time.Duration(s.pause.Load())) }

// hold keeps conn among the legs, as one that has not opened anything yet. If
// there are too many, the one that has waited longest makes room. A usual caller
// sends its line at once and does not wait.
func (s *Server) hold(conn net.Conn, deadline time.Time) *list.Element {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.room()
	_ = conn.SetReadDeadline(deadline) // never moved: room ends the wait by it
	s.legs[conn] = struct{}{}
	return s.waiting.PushBack(conn)
}

// room tells whether there is room for one more socket, if need be that of the
// caller that has waited longest, under the lock.
func (s *Server) room() bool {
	used := len(s.legs) + len(s.running)
	if s.limits.Elsewhere != nil {
		used += s.limits.Elsewhere()
	}
	if used < s.limits.Sockets {
		return true
	}
	oldest := s.waiting.Front()
	if oldest == nil {
		return false
	}
	s.waiting.Remove(oldest)
	_ = oldest.Value.(net.Conn).SetReadDeadline(time.Unix(1, 0)) // its read fails, it is answered and closed
	return true
}

func (s *Server) letGo(conn net.Conn, place *list.Element) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting.Remove(place)
	delete(s.legs, conn)
}
