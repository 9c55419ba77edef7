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
	// dialTimeout limits the time that a client takes to connect to a node.
	dialTimeout = time.Second
	// lateAnswerWindow is how long after FinalAnswerTimeout a client still reads, so that a late answer can
	// be told from a missing one.
	lateAnswerWindow = 500 * time.Millisecond
)

// ErrUnreachable is returned if a node accepts no connection, for instance after a crash.
var ErrUnreachable = errors.New("node is unreachable")

// Session is a client's connection to a node on which the client has received its final answer.
type Session struct {
	Reply     string        // first word of the answer
	StartedAt time.Time     // before the connection was made
	Took      time.Duration // from StartedAt until the answer

	close func()
}

// OpenSession connects to a node, sends a first line and waits for the final answer. The error wraps
// ErrUnreachable if the connection failed; any other error means that no answer arrived. The
// connection is closed by Close or when ctx ends.
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
	_ = conn.SetDeadline(startedAt.Add(FinalAnswerTimeout + lateAnswerWindow))
	_, _ = fmt.Fprintf(conn, "%s\r\n", line) // a failed write shows as a missing answer
	text, err := bufio.NewReader(conn).ReadString('\n')
	session.Took = time.Since(startedAt)
	if err != nil {
		session.Close()
		return nil, err
	}
	session.Reply, _, _ = strings.Cut(strings.TrimSpace(text), " ")
	return session, nil
}

// Close closes the connection of the session.
func (s *Session) Close() { s.close() }
