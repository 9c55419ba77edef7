package downstream

import (
	"bytes"
	"errors"
	"os"
	"time"

	"coralrelay/internal/audit"
	"coralrelay/internal/bufconn"
	"coralrelay/internal/lifecycle"
	"coralrelay/internal/lineproto"
	"coralrelay/internal/proxy"
)

const (
	// firstLineTimeout is how long a client may take from its connect to the end of its first line,
	// whatever it sends meanwhile: each client must be answered within 3 s.
	firstLineTimeout = 2 * time.Second
	// maxPings is how many PINGs are answered on one connection. A load balancer in front sends one
	// or two, and an answer costs more than a PING.
	maxPings = 16
	// deadlineMargin is subtracted from a client's timeout: the client's clock started when it sent
	// the line, and the answer still has to reach it.
	deadlineMargin = 25 * time.Millisecond
	// maxRequestTimeout is the upper bound of the timeout that a client may request. A session that
	// its upstream still holds is lost after 40 s, and ordinary requests fail far sooner.
	maxRequestTimeout = 40 * time.Second
	// answerWriteTimeout is how long the write of a last answer may block.
	answerWriteTimeout = time.Second
	// lingerTimeout is how long a client may take to close its connection after its last answer.
	lingerTimeout = 250 * time.Millisecond
)

// serveClient reads lines until one opens a session or the client's deadline passes. It returns
// when the connection is closed.
func (s *Server) serveClient(client *pendingClient) {
	defer s.removeClient(client)
	conn := bufconn.New(client.conn)
	for pings := 0; ; pings++ {
		line, err := conn.ReadTextLine()
		if err != nil {
			s.endWithoutRequest(client, conn, err)
			return
		}
		if string(line) == lineproto.Ping && pings < maxPings {
			answer := lineproto.Pong
			if !s.AcceptsClients() {
				answer = s.busyLine()
			}
			if err := conn.WriteLine(answer, client.deadline); err != nil {
				_ = s.lingeringClose(client, conn, s.busyLine())
				return
			}
			continue
		}
		client.requestRead = true
		request, err := lineproto.ParseConnectRequest(line)
		if err != nil {
			s.rejectFirstLine(client, conn, err)
			return
		}
		s.runSession(client, conn, request)
		return
	}
}

// endWithoutRequest ends a connection on which reading the first line has failed with err.
func (s *Server) endWithoutRequest(client *pendingClient, conn *bufconn.Conn, err error) {
	noInput := conn.R.Buffered() == 0
	timedOut := errors.Is(err, os.ErrDeadlineExceeded)
	// A read that timed out before the client's deadline was interrupted by evict, which is not an
	// error of the client.
	evicted := timedOut && time.Now().Before(client.deadline)
	switch {
	case timedOut && noInput, evicted:
		client.requestRead = endsRequest(bufconn.DiscardAvailable(client.conn))
		audit.Count(audit.CloseNoFirstLine)
		_ = s.lingeringClose(client, conn, s.busyLine())
	case noInput: // the client has disconnected
		conn.Release()
	default:
		s.rejectFirstLine(client, conn, err)
	}
}

// endsRequest reports whether last, the bytes that a client sent last, end its request, so that no
// more input follows.
func endsRequest(last []byte) bool {
	return bytes.HasSuffix(last, []byte("\n")) && !bytes.HasPrefix(last, []byte(lineproto.Ping))
}

// runSession serves a request until its session ends.
func (s *Server) runSession(client *pendingClient, conn *bufconn.Conn, request lineproto.ConnectRequest) {
	session := s.newSession(conn, &request)
	if refusal := s.admit(session, client); refusal != lifecycle.None {
		audit.CountRequestRefusal(refusal)
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

// newSession returns the session of a request that was read from conn. Its timeout counts from the
// arrival of the request at this machine: the connection may have waited for capacity, or this
// process may have been paused.
func (s *Server) newSession(conn *bufconn.Conn, request *lineproto.ConnectRequest) *proxy.Session {
	timeout := min(request.Timeout, maxRequestTimeout) - deadlineMargin - bufconn.SinceLastArrival(conn.Conn)
	placement := proxy.Request{
		ID:            request.ID,
		Class:         request.Class,
		Key:           request.Key,
		Group:         request.Group,
		Tenant:        request.Tenant,
		CurrentServer: request.Endpoint,
		Hint:          request.LoadHint,
		Retry:         request.Retry,
		Returned:      request.Returned,
		Deadline:      time.Now().Add(timeout),
	}
	session := proxy.New(placement, request, lineproto.Codec{}, s.dispatcher, conn)
	session.Metrics = s.Metrics.Class(request.Class)
	return session
}

// markSubmitted records that the dispatcher has the session, which may be given up from now on. If
// rejectRemaining was called before, markSubmitted gives the session up.
func (s *Server) markSubmitted(session *proxy.Session) {
	s.mu.Lock()
	s.sessions[session] = true
	rejectUnread := s.rejectUnread
	s.mu.Unlock()
	if rejectUnread {
		session.GiveUp()
	}
}

// rejectFirstLine answers a first line that cannot be parsed, and closes the connection.
func (s *Server) rejectFirstLine(client *pendingClient, conn *bufconn.Conn, err error) {
	audit.Count(audit.CloseBadFirstLine)
	s.rejectedLineLog.Warn("first line rejected",
		"component", component, "client", conn.RemoteAddr().String(), "error", err)
	_ = s.lingeringClose(client, conn, lineproto.Error)
}

// lingeringClose sends a last answer and closes the connection without a reset. A request may
// arrive at the same moment, and the reset of a plain close would overtake the answer. It returns
// the error of the write.
func (s *Server) lingeringClose(client *pendingClient, conn *bufconn.Conn, answer string) error {
	s.mu.Lock()
	s.evict(client)
	s.mu.Unlock()
	err := conn.WriteLine(answer, time.Now().Add(answerWriteTimeout))
	conn.CloseWrite()
	s.startLinger(client)
	conn.Linger()
	return err
}

// busyLine returns the answer to a client that is rejected before its request is read.
func (s *Server) busyLine() string {
	return lineproto.Codec{}.Busy(time.Duration(s.retryAfter.Load()))
}
