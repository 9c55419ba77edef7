package downstream

import (
	"errors"
	"os"
	"time"

	"coralrelay/internal/bufconn"
	"coralrelay/internal/lineproto"
	"coralrelay/internal/proxy"
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
	// linger is how long a caller may take to end after its last answer.
	linger = 250 * time.Millisecond
)

// serve reads lines until one opens a connection, or until the visitor's deadline. A
// transaction closes its leg itself.
func (s *Server) serve(v *visitor) {
	defer s.letGo(v)
	l := bufconn.New(v.conn)
	for asked := 0; ; asked++ {
		text, err := l.ReadTextLine()
		if err != nil {
			s.unopened(v, l, err)
			return
		}
		if string(text) == lineproto.Ping && asked < pings {
			answer := lineproto.Pong
			if !s.AcceptsClients() {
				answer = s.busy()
			}
			if err := l.WriteLine(answer, v.deadline); err != nil {
				s.seeOff(v, l, s.busy())
				return
			}
			continue
		}
		open, err := lineproto.ParseConnectRequest(text)
		if err != nil {
			s.reject(v, l, err)
			return
		}
		s.open(v, l, open)
		return
	}
}

// unopened ends a leg on which no first line came.
func (s *Server) unopened(v *visitor, l *bufconn.Conn, err error) {
	silent, late := l.R.Buffered() == 0, errors.Is(err, os.ErrDeadlineExceeded)
	switch {
	case late && (silent || time.Now().Before(v.deadline)): // or it has to go now, which is not its fault
		s.seeOff(v, l, s.busy())
	case silent: // it has gone
		l.Release()
	default:
		s.reject(v, l, err)
	}
}

// open runs a transaction to its end.
func (s *Server) open(v *visitor, l *bufconn.Conn, o lineproto.ConnectRequest) {
	t := proxy.New(proxy.Request{ID: o.ID, Class: o.Class, Key: o.Key, Group: o.Group, Tenant: o.Tenant, CurrentServer: o.Endpoint,
		Hint: o.Hint, Retry: o.Retry, Returned: o.Returned, Deadline: time.Now().Add(min(o.Patience, longestWait) - margin)},
		&o, lineproto.Codec{}, s.decider, l)
	t.Metrics = s.Metrics.Class(o.Class)
	if !s.admit(t, v) {
		if s.seeOff(v, l, s.busy()) == nil {
			t.Metrics.Rejected()
		}
		return
	}
	if s.Resumptions != nil && o.ResumeToken != "" {
		t.Resumption = s.Resumptions.Resumption(&o)
	}
	s.decider.Submit(t, s.branches)
	s.submitted(t)
	t.Run()
	s.mu.Lock()
	delete(s.running, t)
	s.mu.Unlock()
}

// submitted notes that the decider has t, which may be given up from now on.
func (s *Server) submitted(t *proxy.Session) {
	s.mu.Lock()
	s.running[t] = true
	over := s.over
	s.mu.Unlock()
	if over {
		t.GiveUp()
	}
}

// reject answers a first line that is none, and ends the leg.
func (s *Server) reject(v *visitor, l *bufconn.Conn, err error) {
	s.bad.Warn("first line rejected", "from", l.RemoteAddr().String(), "err", err)
	_ = s.seeOff(v, l, lineproto.Error)
}

// seeOff gives a last answer and ends the leg in good order: a request may come in the
// very moment, and a close over it would be a reset, which takes the answer with it.
func (s *Server) seeOff(v *visitor, l *bufconn.Conn, answer string) error {
	s.mu.Lock()
	s.part(v)
	s.mu.Unlock()
	return l.LingeringClose(answer, time.Now().Add(writing), linger)
}

// busy words the busy answer to who is refused unseen.
func (s *Server) busy() string { return lineproto.Codec{}.Busy(time.Duration(s.retryAfter.Load())) }
