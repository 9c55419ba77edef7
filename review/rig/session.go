package rig

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// lineInterval is how often a client sends a line on its open connection.
	lineInterval = 2 * time.Second
	// answerTime is how long a client waits for a line in answer.
	answerTime = 7 * time.Second
	// openTime is how long a client waits for UP.
	openTime = 1800 * time.Millisecond
)

// Session is a client with an open connection. It sends a line every 2 s and reads the answer.
type Session struct {
	ID string

	conn net.Conn
	mu   sync.Mutex
	end  string // how the connection ended; empty while it is open
}

// OpenSession opens a connection of the class listing-feed and keeps it open.
func OpenSession(c *Case, id, to string) (*Session, error) {
	conn, err := net.Dial("tcp", to)
	if err != nil {
		return nil, err
	}
	c.Cleanup(func() { _ = conn.Close() })
	s := &Session{ID: id, conn: conn}
	_ = conn.SetDeadline(time.Now().Add(openTime))
	if _, err := fmt.Fprintf(conn, "OPEN %s k%s c=listing-feed,d=%d\r\n", id, id, openTime.Milliseconds()); err != nil {
		return nil, err
	}
	reader := bufio.NewReader(conn)
	answer, err := reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(answer, "UP ") {
		return nil, fmt.Errorf("%s: answered %q, %w", id, answer, err)
	}
	go s.keep(reader)
	return s, nil
}

// keep sends lines and reads answers until the connection ends.
func (s *Session) keep(reader *bufio.Reader) {
	for n := 0; ; n++ {
		_ = s.conn.SetDeadline(time.Now().Add(answerTime))
		if _, err := fmt.Fprintf(s.conn, "line %d\r\n", n); err != nil {
			s.setEnd(err.Error())
			return
		}
		answer, err := reader.ReadString('\n')
		switch {
		case err != nil:
			s.setEnd(err.Error())
			return
		case strings.HasPrefix(answer, "MOVE"):
			s.setEnd("MOVE")
			_ = s.conn.Close()
			return
		}
		time.Sleep(lineInterval)
	}
}

func (s *Session) setEnd(end string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end = end
}

// End returns how the connection ended, or an empty string while it is open.
func (s *Session) End() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.end
}
