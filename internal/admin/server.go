// Package admin answers operators on a listener of its own: one line in, one answer out,
// then the connection ends. It decides nothing and never waits for the event loop, the
// fleet or another caller.
//
// Server.Serve owns one goroutine for each call, at most MaxCalls. Each ends after its
// answer, with its timeouts, or when the listener is closed, and Serve waits for them.
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
	// MaxCalls is how many calls are served at once, and so how many sockets they take.
	MaxCalls = 16
	// requestTimeout is how long a caller may take for its line.
	requestTimeout = 3 * time.Second
	// bufferedLineTimeout is what a caller whose wait was cut short is still given for a
	// line that lies in its socket: the node may have been too busy to read it.
	bufferedLineTimeout = 5 * time.Millisecond
	// writeTimeout is how long an answer may block.
	writeTimeout = time.Second
	// lingerTimeout is how long a caller may take to end after an answer that came before
	// all that it sends.
	lingerTimeout = 100 * time.Millisecond
	// acceptBackoff is the pause after an accept that failed.
	acceptBackoff = 5 * time.Millisecond
)

// Requests and answers of the operators' protocol.
const (
	requestPing     = "PING"
	requestInfo     = "INFO"
	requestLameDuck = "LAMEDUCK"
	requestRejoin   = "REJOIN"

	answerServing    = "200 OK"
	answerNotServing = "400 takes no clients"
	answerDraining   = "200 emptying"
	answerRejoined   = "200 taking clients"
	answerIncomplete = "400 no whole line"
	answerUnknown    = "400 unknown call: PING, INFO, LAMEDUCK or REJOIN"
	endOfMetrics     = "EOF"
)

// Node is what operators ask and command. Its methods return at once.
type Node interface {
	// AcceptsClients reports whether this process takes clients.
	AcceptsClients() bool
	// Metrics returns lines of metrics, each with its line end.
	Metrics() string
	// LameDuck starts to drain the node; while it drains, it changes nothing.
	LameDuck()
	// Rejoin ends a drain that LameDuck started; without one it changes nothing.
	Rejoin()
}

// Server answers operators.
type Server struct {
	node          Node
	callSlots     chan struct{} // holds one element for each call that is served
	rejectedCalls logging.Throttled

	mu              sync.Mutex
	awaitingRequest []net.Conn // have not sent a complete line yet, the oldest first
	wg              sync.WaitGroup
}

// New returns a Server for node.
func New(node Node) *Server {
	return &Server{node: node, callSlots: make(chan struct{}, MaxCalls)}
}

// Serve accepts calls until the listener is closed, which is no error, and then waits for
// those that are being served.
func (s *Server) Serve(listener net.Listener) error {
	defer s.wg.Wait()
	defer s.expireOldest(MaxCalls)
	for {
		conn, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil: // out of descriptors, most likely
			s.rejectedCalls.Warn("operator call not accepted", "component", "admin", "error", err)
			time.Sleep(acceptBackoff)
			continue
		}
		s.acquireSlot()
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

// acquireSlot takes a slot for a call. Where all are taken, half of the silent callers are
// expired at once, so that a crowd of them delays nobody for long.
func (s *Server) acquireSlot() {
	select {
	case s.callSlots <- struct{}{}:
	default:
		s.expireOldest(MaxCalls / 2)
		s.callSlots <- struct{}{}
	}
}

// expireOldest ends the wait for a request of the n callers that have been silent longest.
func (s *Server) expireOldest(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n = min(n, len(s.awaitingRequest))
	for _, conn := range s.awaitingRequest[:n] {
		_ = conn.SetReadDeadline(time.Unix(1, 0))
	}
	s.awaitingRequest = slices.Delete(s.awaitingRequest, 0, n)
}

// requestReceived takes conn off the silent callers; nobody moves its deadline any more.
func (s *Server) requestReceived(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.awaitingRequest, conn); i >= 0 {
		s.awaitingRequest = slices.Delete(s.awaitingRequest, i, i+1)
	}
}

// handle reads one request, answers it and ends the connection.
func (s *Server) handle(conn net.Conn) {
	client := bufconn.New(conn)
	request, err := client.ReadTextLine()
	s.requestReceived(conn)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		request, err = client.ReadTextLineBefore(time.Now().Add(bufferedLineTimeout))
	}
	answer := answerIncomplete
	if err != nil {
		s.rejectedCalls.Warn("operator call rejected", "component", "admin", "client", conn.RemoteAddr().String(), "error", err)
	} else {
		answer = s.answer(string(request), conn)
	}
	mayHaveMore := errors.Is(err, bufio.ErrBufferFull) || err == nil && client.R.Buffered() > 0
	if mayHaveMore {
		_ = client.LingeringClose(answer, time.Now().Add(writeTimeout), lingerTimeout)
		return
	}
	_ = client.WriteLine(answer, time.Now().Add(writeTimeout))
	client.Release()
}

// answer carries out a request and returns its answer, without the line end.
func (s *Server) answer(request string, conn net.Conn) string {
	switch request {
	case requestPing:
		if s.node.AcceptsClients() {
			return answerServing
		}
		return answerNotServing
	case requestInfo:
		return s.node.Metrics() + endOfMetrics
	case requestLameDuck:
		s.node.LameDuck()
		return answerDraining
	case requestRejoin:
		s.node.Rejoin()
		return answerRejoined
	}
	s.rejectedCalls.Warn("operator call unknown", "component", "admin", "client", conn.RemoteAddr().String())
	return answerUnknown
}
