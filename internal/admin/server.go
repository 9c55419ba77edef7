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
	patience = 3 * time.Second
	// glance is what a caller who has to make room is still given for a line that
	// lies in its socket: the node may have been too busy to read it.
	glance = 5 * time.Millisecond
	// writing is how long an answer may block.
	writing = time.Second
	// linger is how long a caller may take to end after an answer that came before
	// all that it sends.
	linger = 100 * time.Millisecond
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
	node  Node
	slots chan struct{} // a caller each
	bad   logging.Throttled

	mu     sync.Mutex
	silent []net.Conn // have not said a whole line yet, the oldest first
	wg     sync.WaitGroup
}

// New returns a Server for node.
func New(node Node) *Server { return &Server{node: node, slots: make(chan struct{}, MaxCalls)} }

// Serve accepts callers until the listener is closed, and waits for those that are
// there.
func (s *Server) Serve(listener net.Listener) error {
	defer s.wg.Wait()
	defer s.makeRoom(MaxCalls)
	for {
		conn, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil: // out of sockets, most likely
			s.bad.Warn("accept of an operator's call", "err", err)
			time.Sleep(5 * time.Millisecond)
			continue
		}
		select {
		case s.slots <- struct{}{}:
		default: // half at once, so that a crowd of silent ones delays nobody for long
			s.makeRoom(MaxCalls / 2)
			s.slots <- struct{}{}
		}
		_ = conn.SetReadDeadline(time.Now().Add(patience))
		s.mu.Lock()
		s.silent = append(s.silent, conn)
		s.mu.Unlock()
		s.wg.Go(func() {
			s.serve(conn)
			<-s.slots
		})
	}
}

// makeRoom ends the wait of the n that have been silent longest.
func (s *Server) makeRoom(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n = min(n, len(s.silent))
	for _, conn := range s.silent[:n] {
		_ = conn.SetReadDeadline(time.Unix(1, 0))
	}
	s.silent = slices.Delete(s.silent, 0, n)
}

// spoken takes conn off the silent ones; nobody moves its deadline any more.
func (s *Server) spoken(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.silent, conn); i >= 0 {
		s.silent = slices.Delete(s.silent, i, i+1)
	}
}

func (s *Server) serve(conn net.Conn) {
	l := bufconn.New(conn)
	text, err := l.ReadTextLine()
	s.spoken(conn)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		text, err = l.ReadTextLineBefore(time.Now().Add(glance))
	}
	answer := ""
	if err != nil {
		answer = "400 no whole line"
		s.bad.Warn("operator's call rejected", "from", conn.RemoteAddr().String(), "err", err)
	} else {
		answer = s.answer(string(text), conn)
	}
	if errors.Is(err, bufio.ErrBufferFull) || err == nil && l.R.Buffered() > 0 { // there may be more
		l.LingeringClose(answer, time.Now().Add(writing), linger)
		return
	}
	_ = l.WriteLine(answer, time.Now().Add(writing))
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
	s.bad.Warn("operator's call unknown", "from", conn.RemoteAddr().String())
	return "400 unknown call: PING, INFO, LAMEDUCK or REJOIN"
}
