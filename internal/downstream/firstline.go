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
	firstLineTimeout = 2 * time.Second
	// pings is how many PINGs are answered on one connection: a front asks once
	// or twice, and an answer costs more than a question.
	maxPings = 16
	// margin is kept back from a caller's deadline: its clock started when it
	// sent the line, and the answer still has to reach it.
	deadlineMargin = 25 * time.Millisecond
	// longestWait bounds what a caller may ask for: a connection that its next hop
	// still holds is lost after 40 s, and usual ones are given up far sooner.
	maxRequestTimeout = 40 * time.Second
	// writing is how long a short answer may block.
	answerWriteTimeout = time.Second
	// linger is how long a caller may take to end after its last answer.
	lingerTimeout = 250 * time.Millisecond
)

// serve reads lines until one opens a connection, or until the visitor's deadline. A
// transaction closes its leg itself.
func (s *Server) serveClient(client *pendingClient) {
	defer s.removeClient(client)
	conn := bufconn.New(client.conn)
	for pings := 0; ; pings++ {
		text, err := conn.ReadTextLine()
		if err != nil {
			s.endWithoutRequest(client, conn, err)
			return
		}
		if string(text) == lineproto.Ping && pings < maxPings {
			answer := lineproto.Pong
			if !s.AcceptsClients() {
				answer = s.busyLine()
			}
			if err := conn.WriteLine(answer, client.deadline); err != nil {
				s.lingeringClose(client, conn, s.busyLine())
				return
			}
			continue
		}
		request, err := lineproto.ParseConnectRequest(text)
		if err != nil {
			s.rejectFirstLine(client, conn, err)
			return
		}
		s.runSession(client, conn, request)
		return
	}
}

// unopened ends a leg on which no first line came.
func (s *Server) endWithoutRequest(client *pendingClient, conn *bufconn.Conn, err error) {
	silent, timedOut := conn.R.Buffered() == 0, errors.Is(err, os.ErrDeadlineExceeded)
	switch {
	case timedOut && (silent || time.Now().Before(client.deadline)): // or it has to go now, which is not its fault
		s.lingeringClose(client, conn, s.busyLine())
	case silent: // it has gone
		conn.Release()
	default:
		s.rejectFirstLine(client, conn, err)
	}
}

// open runs a transaction to its end.
func (s *Server) runSession(client *pendingClient, conn *bufconn.Conn, request lineproto.ConnectRequest) {
	session := proxy.New(proxy.Request{ID: request.ID, Class: request.Class, Key: request.Key, Group: request.Group, Tenant: request.Tenant, CurrentServer: request.Endpoint,
		Hint: request.LoadHint, Retry: request.Retry, Returned: request.Returned, Deadline: time.Now().Add(min(request.Patience, maxRequestTimeout) - deadlineMargin)},
		&request, lineproto.Codec{}, s.dispatcher, conn)
	session.Metrics = s.Metrics.Class(request.Class)
	if !s.admit(session, client) {
		if s.lingeringClose(client, conn, s.busyLine()) == nil {
			session.Metrics.Rejected()
		}
		return
	}
	if s.Resumptions != nil && request.ResumeToken != "" {
		session.Resumption = s.Resumptions.Resumption(&request)
	}
	s.dispatcher.Submit(session, s.attempts)
	s.markSubmitted(session)
	session.Run()
	s.mu.Lock()
	delete(s.sessions, session)
	s.mu.Unlock()
}

// submitted notes that the decider has t, which may be given up from now on.
func (s *Server) markSubmitted(session *proxy.Session) {
	s.mu.Lock()
	s.sessions[session] = true
	rejectUnread := s.rejectUnread
	s.mu.Unlock()
	if rejectUnread {
		session.GiveUp()
	}
}

// reject answers a first line that is none, and ends the leg.
func (s *Server) rejectFirstLine(client *pendingClient, conn *bufconn.Conn, err error) {
	s.rejectedLineLog.Warn("first line rejected", "from", conn.RemoteAddr().String(), "err", err)
	_ = s.lingeringClose(client, conn, lineproto.Error)
}

// seeOff gives a last answer and ends the leg in good order: a request may come in the
// very moment, and a close over it would be a reset, which takes the answer with it.
func (s *Server) lingeringClose(client *pendingClient, conn *bufconn.Conn, answer string) error {
	s.mu.Lock()
	s.evict(client)
	s.mu.Unlock()
	return conn.LingeringClose(answer, time.Now().Add(answerWriteTimeout), lingerTimeout)
}

// busy words the busy answer to who is refused unseen.
func (s *Server) busyLine() string { return lineproto.Codec{}.Busy(time.Duration(s.retryAfter.Load())) }
