// Package admin serves the operators' protocol on a listener of its own: a connection carries one
// request line and one answer, and is then closed. The package makes no decisions itself, and a
// request never waits for the event loop, the fleet or another connection.
//
// Server.Serve owns one goroutine per connection, at most MaxConnections. Each goroutine ends after its
// answer, on a timeout, or when the listener is closed, and Serve waits for all of them.
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
	// MaxConnections is the maximum number of connections served at once, and so of sockets in use.
	MaxConnections = 16
	// requestTimeout limits the time until the request line is complete.
	requestTimeout = 3 * time.Second
	// bufferedLineTimeout is the additional read time after requestTimeout or an early expiry. It
	// lets the server read a line that is already in the socket's buffer, which a busy node may not
	// have read in time.
	bufferedLineTimeout = 5 * time.Millisecond
	// writeTimeout limits the write of an answer.
	writeTimeout = time.Second
	// lingerTimeout limits the wait for the client to close after an answer that was sent before
	// all input was read.
	lingerTimeout = 100 * time.Millisecond
	// acceptBackoff is the pause after a failed accept.
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

// Node is the node that operators query and control. Its methods return without blocking.
type Node interface {
	// AcceptsClients reports whether this process accepts clients.
	AcceptsClients() bool
	// Metrics returns the metrics as text, each line with its line end.
	Metrics() string
	// LameDuck starts to drain the node. It has no effect while the node is draining.
	LameDuck()
	// Rejoin ends a drain that LameDuck started. It has no effect without one.
	Rejoin()
}

// Server serves the operators' protocol.
type Server struct {
	node             Node
	connSlots        chan struct{} // one element for each connection that is being served
	rejectedRequests logging.Throttled

	mu              sync.Mutex
	awaitingRequest []net.Conn // connections without a complete request line yet, oldest first
	wg              sync.WaitGroup
}

// New returns a Server for node.
func New(node Node) *Server {
	return &Server{node: node, connSlots: make(chan struct{}, MaxConnections)}
}

// Serve accepts connections until the listener is closed, which is not an error, and then waits for
// those that are being served.
func (s *Server) Serve(listener net.Listener) error {
	defer s.wg.Wait()
	defer s.expireOldest(MaxConnections)
	for {
		conn, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil: // usually the descriptor limit
			s.rejectedRequests.Warn("accept operator connection failed", "component", "admin", "error", err)
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
			<-s.connSlots
		})
	}
}

// acquireSlot takes a slot for a connection. If all slots are taken, it expires the oldest half of
// the connections that have sent no request, so that idle connections cannot block others for long.
func (s *Server) acquireSlot() {
	select {
	case s.connSlots <- struct{}{}:
	default:
		s.expireOldest(MaxConnections / 2)
		s.connSlots <- struct{}{}
	}
}

// expireOldest expires the read deadline of the n oldest connections that have sent no request.
func (s *Server) expireOldest(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n = min(n, len(s.awaitingRequest))
	for _, conn := range s.awaitingRequest[:n] {
		_ = conn.SetReadDeadline(time.Unix(1, 0))
	}
	s.awaitingRequest = slices.Delete(s.awaitingRequest, 0, n)
}

// requestReceived removes conn from awaitingRequest, after which its deadline is not expired early.
func (s *Server) requestReceived(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.awaitingRequest, conn); i >= 0 {
		s.awaitingRequest = slices.Delete(s.awaitingRequest, i, i+1)
	}
}

// handle reads one request, answers it and closes the connection.
func (s *Server) handle(conn net.Conn) {
	client := bufconn.New(conn)
	request, err := client.ReadTextLine()
	s.requestReceived(conn)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		request, err = client.ReadTextLineBefore(time.Now().Add(bufferedLineTimeout))
	}
	answer := answerIncomplete
	if err != nil {
		s.rejectedRequests.Warn("operator request rejected", "component", "admin",
			"client", conn.RemoteAddr().String(), "error", err)
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

// answer executes a request and returns the answer without its line end.
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
	s.rejectedRequests.Warn("unknown operator request", "component", "admin",
		"client", conn.RemoteAddr().String())
	return answerUnknown
}
