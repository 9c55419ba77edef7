package testbed

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"
)

const (
	// dialTimeout bounds a client's connection to a node.
	dialTimeout = time.Second
	// lateAnswer is how long beyond its patience a client still listens, to tell a late answer
	// from none.
	lateAnswer = 500 * time.Millisecond
)

// ErrUnreachable is returned for a node that accepts no connection, as one that has just crashed.
var ErrUnreachable = errors.New("node is unreachable")

// Session is a client's connection to a node that got its final answer.
type Session struct {
	Reply     string        // the answer's first word
	StartedAt time.Time     // before the connection was made
	Took      time.Duration // from StartedAt until the answer

	close func()
}

// OpenSession connects to a node, sends a first line and waits for the final answer. An error
// wraps ErrUnreachable if there was no connection, else there was no answer. The connection is
// closed by Close or with ctx.
func OpenSession(ctx context.Context, addr, line string) (*Session, error) {
	startedAt := time.Now()
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	session := &Session{StartedAt: startedAt, close: func() {
		stop()
		_ = conn.Close()
	}}
	_ = conn.SetDeadline(startedAt.Add(AnswerTimeout + lateAnswer))
	_, _ = fmt.Fprintf(conn, "%s\r\n", line) // a failure shows as the answer that does not come
	text, err := bufio.NewReader(conn).ReadString('\n')
	session.Took = time.Since(startedAt)
	if err != nil {
		session.Close()
		return nil, err
	}
	session.Reply, _, _ = strings.Cut(strings.TrimSpace(text), " ")
	return session, nil
}

// Close ends the session.
func (s *Session) Close() { s.close() }
