// Package mgmt is the operators' front: a listener of its own, one line in, one
// answer out, and the connection's end. It decides nothing and never waits for the
// Core, the fleet or another caller.
package admin

import (
	"bufio"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"coralrelay/internal/bufconn"
	"coralrelay/internal/logging"
)

const (
	// Callers is how many may call at once, and so how many sockets they take.
	MaxCalls = 16
	// patience is how long a caller may take for its line.
	requestTimeout = 3 * time.Second
	// glance is what a caller who has to make room is still given for a line that
	// lies in its socket: the node may have been too busy to read it.
	bufferedLineTimeout = 5 * time.Millisecond
	// writing is how long an answer may block.
	writeTimeout = time.Second
	// linger is how long a caller may take to end after an answer that came before
	// all that it sends.
	lingerTimeout = 100 * time.Millisecond
)

// Node is what operators ask about and tell. Its methods return at once.
type Node interface {
	AcceptsClients() bool // this process takes clients
	Metrics() string      // lines of figures, each with its end
	LameDuck()            // empties the node; again, it changes nothing
	Rejoin()              // ends that; without it, it changes nothing
}

// Server answers operators.
type Server struct {
	node          Node
	callSlots     chan struct{} // a caller each
	rejectedCalls logging.Throttled

	mu              sync.Mutex
	awaitingRequest []net.Conn // have not said a whole line yet, the oldest first
	wg              sync.WaitGroup
}

// New returns a Server for node.
func New(node Node) *Server { return &Server{node: node, callSlots: make(chan struct{}, MaxCalls)} }

// Serve accepts callers until the listener is closed, and waits for those that are
// there.
func (s *Server) Serve(listener net.Listener) error {
	defer s.wg.Wait()
	defer s.expireOldest(MaxCalls)
	for {
		conn, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil: // out of sockets, most likely
			s.rejectedCalls.Warn("accept of an operator's call", "err", err)
			time.Sleep(5 * time.Millisecond)
			continue
		}
		select {
		case s.callSlots <- struct{}{}:
		default: // half at once, so that a crowd of silent ones delays nobody for long
			s.expireOldest(MaxCalls / 2)
			s.callSlots <- struct{}{}
		}
		_ = conn.SetReadDeadline(time.Now().Add(requestTimeout))
		s.mu.Lock()
		s.awaitingRequest = append(s.awaitingRequest, conn)
		s.mu.Unlock()
		s.wg.Go(func() {
			s.handle(conn)
			<-s.callSlots
		})
	}
}

// makeRoom ends the wait of the n that have been silent longest.
func (s *Server) expireOldest(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n = min(n, len(s.awaitingRequest))
	for _, conn := range s.awaitingRequest[:n] {
		_ = conn.SetReadDeadline(time.Unix(1, 0))
	}
	s.awaitingRequest = slices.Delete(s.awaitingRequest, 0, n)
}

// spoken takes conn off the silent ones; nobody moves its deadline any more.
func (s *Server) requestReceived(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.awaitingRequest, conn); i >= 0 {
		s.awaitingRequest = slices.Delete(s.awaitingRequest, i, i+1)
	}
}

func (s *Server) handle(conn net.Conn) {
	l := bufconn.New(conn)
	text, err := l.ReadTextLine()
	s.requestReceived(conn)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		text, err = l.ReadTextLineBefore(time.Now().Add(bufferedLineTimeout))
	}
	answer := ""
	if err != nil {
		answer = "400 no whole line"
		s.rejectedCalls.Warn("operator's call rejected", "from", conn.RemoteAddr().String(), "err", err)
	} else {
		answer = s.answer(string(text), conn)
	}
	if errors.Is(err, bufio.ErrBufferFull) || err == nil && l.R.Buffered() > 0 { // there may be more
		l.LingeringClose(answer, time.Now().Add(writeTimeout), lingerTimeout)
		return
	}
	_ = l.WriteLine(answer, time.Now().Add(writeTimeout))
	l.Release()
}

// answer does what a call asks for.
func (s *Server) answer(call string, conn net.Conn) string {
	switch call {
	case "PING":
		if s.node.AcceptsClients() {
			return "200 OK"
		}
		return "400 takes no clients"
	case "INFO":
		return s.node.Metrics() + "EOF"
	case "LAMEDUCK":
		s.node.LameDuck()
		return "200 emptying"
	case "REJOIN":
		s.node.Rejoin()
		return "200 taking clients"
	}
	s.rejectedCalls.Warn("operator's call unknown", "from", conn.RemoteAddr().String())
	return "400 unknown call: PING, INFO, LAMEDUCK or REJOIN"
}
