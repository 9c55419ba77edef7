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

// Sender hands sessions to the process that listens at a name in a directory. It is a
// proxy.Successor. Once something has failed, it hands over nothing more. Its methods may
// be called by several goroutines.
type Sender struct {
	mu   sync.Mutex
	conn *net.UnixConn // nil once it has failed or is closed
}

// Dial connects to the receiver, which must run as the same user.
func Dial(dir, name string) (*Sender, error) {
	s := &Sender{}
	return s, withSocketAddr(dir, name, func(addr *net.UnixAddr) (err error) {
		s.conn, err = net.DialUnix(network, nil, addr)
		if err == nil && !isSameUser(s.conn) {
			s.Close()
			err = errors.New("the receiver runs as another user")
		}
		return err
	})
}

// Take hands one session over, within a time that counts its wait for others. The session
// closes its own copies of the connections then. If it is false, the receiver has neither
// read nor written anything, and never will.
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

// writeOffer writes a message with the descriptors of both connections, under the lock.
func (s *Sender) writeOffer(message []byte, downstreamConn, upstreamConn net.Conn) error {
	return bufconn.WithDescriptor(downstreamConn, func(downstreamFD int) error {
		return bufconn.WithDescriptor(upstreamConn, func(upstreamFD int) error {
			_, _, err := s.conn.WriteMsgUnix(message, unix.UnixRights(downstreamFD, upstreamFD), nil)
			return err
		})
	})
}

// SendLearnedState passes on what this process has learned. It is called before sessions
// follow, and takes no longer than one of them may.
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
		state = balance.LearnedState{} // all but the servers counts once
	}
}

// sendLearnedStateMessage sends one message and reports whether the receiver used it, under
// the lock.
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

// roundTrip has a message written and returns the receiver's reply to it, under the lock;
// empty if none came in time.
func (s *Sender) roundTrip(deadline time.Time, write func() error) string {
	if s.conn == nil || !time.Now().Before(deadline) {
		return ""
	}
	err := s.conn.SetDeadline(deadline)
	if err == nil {
		err = write()
	}
	var reply [len(replyRejected)]byte // the longest
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

// sendCommit makes the offered session the receiver's, under the lock and before
// roundTrip's deadline. A message that was written reaches the receiver, who reads all there
// is before it gives up; one that was not never comes.
func (s *Sender) sendCommit() bool {
	_, err := s.conn.Write([]byte(commitMessage))
	if err != nil {
		s.fail(err)
	}
	return err == nil
}

// fail closes the connection for good, under the lock.
func (s *Sender) fail(err error) {
	slog.Warn("handover failed, the remaining sessions migrate", "component", component, "error", err)
	_ = s.conn.Close()
	s.conn = nil
}

// Close ends the hand-over; sessions that were handed over stay the receiver's.
func (s *Sender) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		_ = s.conn.Close()
		s.conn = nil
	}
}
