package hotrestart

import (
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"coralrelay/balance"
	"coralrelay/internal/bufconn"
	"coralrelay/internal/proxy"
)

// Sender hands sessions to the process that listens on the socket with a given name in a
// directory. It implements proxy.Successor. After an I/O error it hands over no more sessions.
// Its methods are safe for concurrent use.
type Sender struct {
	mu   sync.Mutex
	conn *net.UnixConn // nil after an I/O error or Close
}

// Dial connects to the receiver. It fails if the receiver runs as another user.
func Dial(dir, name string) (*Sender, error) {
	s := &Sender{}
	return s, withSocketAddr(dir, name, func(addr *net.UnixAddr) (err error) {
		s.conn, err = net.DialUnix(network, nil, addr)
		if err == nil && !isSameUser(s.conn) {
			s.Close()
			err = errors.New("receiver runs as another user")
		}
		return err
	})
}

// Take hands over one session. It takes no longer than transferTimeout, including the wait for
// other sessions that are handed over. If it returns true, the session closes its copies of the
// connections. If it returns false, the receiver has neither read from nor written to the
// connections, and never will.
func (s *Sender) Take(session proxy.EstablishedSession, downstreamConn, upstreamConn net.Conn) bool {
	message, err := json.Marshal(session)
	if err != nil || len(message) > maxMessageBytes {
		return false
	}
	deadline := time.Now().Add(transferTimeout)
	s.mu.Lock()
	defer s.mu.Unlock()
	offer := func() error { return s.writeOffer(message, downstreamConn, upstreamConn) }
	return s.roundTrip(deadline, offer) == replyPrepared && s.sendCommit()
}

// writeOffer sends a message with the descriptors of both connections. The caller holds s.mu.
func (s *Sender) writeOffer(message []byte, downstreamConn, upstreamConn net.Conn) error {
	return bufconn.WithDescriptor(downstreamConn, func(downstreamFD int) error {
		return bufconn.WithDescriptor(upstreamConn, func(upstreamFD int) error {
			_, _, err := s.conn.WriteMsgUnix(message, unix.UnixRights(downstreamFD, upstreamFD), nil)
			return err
		})
	})
}

// SendLearnedState sends the state that this process has learned. It is called before the first
// Take. Like Take, it takes no longer than transferTimeout.
func (s *Sender) SendLearnedState(state balance.LearnedState) {
	deadline := time.Now().Add(transferTimeout)
	s.mu.Lock()
	defer s.mu.Unlock()
	remaining := state.Servers
	for {
		n := min(maxServersPerMessage, len(remaining))
		state.Servers, remaining = remaining[:n], remaining[n:]
		if !s.sendLearnedStateMessage(deadline, &state) || len(remaining) == 0 {
			return
		}
		state = balance.LearnedState{} // only the first message has the fields other than Servers
	}
}

// sendLearnedStateMessage sends one message and reports whether the receiver applied it. The
// caller holds s.mu.
func (s *Sender) sendLearnedStateMessage(deadline time.Time, state *balance.LearnedState) bool {
	message, err := json.Marshal(learnedStateMessage{state})
	write := func() error {
		_, err := s.conn.Write(message)
		return err
	}
	if err != nil || len(message) > maxMessageBytes || s.roundTrip(deadline, write) != replyLearned {
		slog.Warn("learned state not handed over", "component", component, "error", err, "bytes", len(message))
		return false
	}
	return true
}

// roundTrip calls write and returns the receiver's reply, or "" if none arrives before the
// deadline. The caller holds s.mu.
func (s *Sender) roundTrip(deadline time.Time, write func() error) string {
	if s.conn == nil || !time.Now().Before(deadline) {
		return ""
	}
	err := s.conn.SetDeadline(deadline)
	if err == nil {
		err = write()
	}
	var reply [len(replyRejected)]byte // the longest reply
	n := 0
	if err == nil {
		n, err = s.conn.Read(reply[:])
	}
	if err != nil {
		s.fail(err)
		return ""
	}
	return string(reply[:n])
}

// sendCommit transfers the offered session to the receiver and reports whether it did so. The
// deadline that roundTrip set still applies, and the caller holds s.mu. If the write succeeds,
// the commit takes effect, as the receiver reads all pending messages before it aborts. If the
// write fails, the receiver never gets the commit.
func (s *Sender) sendCommit() bool {
	_, err := s.conn.Write([]byte(commitMessage))
	if err != nil {
		s.fail(err)
	}
	return err == nil
}

// fail closes the connection permanently. The caller holds s.mu.
func (s *Sender) fail(err error) {
	slog.Warn("handover failed, remaining sessions are migrated", "component", component, "error", err)
	_ = s.conn.Close()
	s.conn = nil
}

// Close closes the connection. Sessions that were handed over stay with the receiver.
func (s *Sender) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		_ = s.conn.Close()
		s.conn = nil
	}
}
