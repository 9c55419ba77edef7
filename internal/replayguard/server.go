package replayguard

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"coralrelay/internal/logging"
	"coralrelay/internal/resumetoken"
)

const (
	// maxConnections is how many peers may be connected at once.
	maxConnections = 64
	// maxQueuedResponses is how many responses may wait on one connection; beyond it the
	// connection ends, as a commit must not wait for a slow reader.
	maxQueuedResponses = 1024
	// idleTimeout ends a connection: a peer sends something every statusInterval.
	idleTimeout = 10 * time.Second
	// writeTimeout is how long a write may block.
	writeTimeout = time.Second
	// acceptRetryDelay is the pause after a failed accept.
	acceptRetryDelay = 5 * time.Millisecond
)

// Server answers the requests of other nodes' guards.
type Server struct {
	Name     string // of the node
	Guard    *Guard
	KeyRing  func() *resumetoken.KeyRing
	failures logging.Throttled
}

// Serve answers until ctx ends or the listener is closed, and then returns nil. It closes the
// listener at ctx's end, and returns after its connections have ended.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	slots := make(chan struct{}, maxConnections)
	for {
		conn, err := listener.Accept()
		switch {
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			s.failures.Warn("replay guard accept failed", "component", component, "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		select {
		case slots <- struct{}{}:
			wg.Go(func() {
				defer func() { <-slots }()
				s.serveConnection(ctx, conn)
			})
		default:
			_ = conn.Close()
		}
	}
}

// serveConnection answers on one connection until it or ctx ends, or a request is not
// accepted. Responses are written by a goroutine of their own, since they come when a batch
// is durable.
func (s *Server) serveConnection(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	outgoing := make(chan string, maxQueuedResponses)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	defer cancel()
	wg.Go(func() { writeLines(ctx, conn, outgoing) })
	respond := func(line string) {
		select {
		case outgoing <- line:
		default:
			cancel()
		}
	}
	err := s.readRequests(conn, respond)
	var refused *protocolError
	if ctx.Err() == nil && errors.As(err, &refused) {
		s.failures.Warn("replay guard request rejected", "component", component,
			"remote_address", conn.RemoteAddr().String(), "error", err)
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, _ = conn.Write([]byte(refusedMessage + lineEnd))
	}
}

// readRequests answers until the connection ends or a request is not accepted.
func (s *Server) readRequests(conn net.Conn, respond func(line string)) error {
	reader := bufio.NewReaderSize(conn, maxLineBytes)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleTimeout))
		fields, err := readFields(reader)
		if err != nil {
			return err
		}
		if err := s.handleRequest(fields, respond); err != nil {
			return err
		}
	}
}

// handleRequest answers one request; the response to a SPEND comes when its verdict is
// durable. The error is a *protocolError.
func (s *Server) handleRequest(fields []string, respond func(line string)) error {
	request, err := parseRequest(s.KeyRing(), fields)
	if err != nil {
		return err
	}
	if request.command == helloMessage {
		respond(request.statusLine(s.Guard.candidate(s.Name)))
		return nil
	}
	id, err := request.redemptionID()
	if err != nil {
		return err
	}
	reply := func(verdict resumetoken.Verdict) { respond(request.verdictLine(verdict)) }
	token, err := resumetoken.Open(s.KeyRing(), request.token())
	if err != nil {
		reply(resumetoken.Invalid)
		return nil
	}
	s.Guard.Spend(&token, id, reply)
	return nil
}

// writeLines writes what is queued, several lines at once where they wait. It returns when ctx
// ends, or closes the connection and returns when a write fails.
func writeLines(ctx context.Context, conn net.Conn, outgoing <-chan string) {
	writer := bufio.NewWriter(conn)
	for {
		select {
		case <-ctx.Done():
			return
		case line := <-outgoing:
			if err := writeBatch(conn, writer, line, outgoing); err != nil {
				_ = conn.Close()
				return
			}
		}
	}
}

// writeBatch writes a line and those that are queued behind it.
func writeBatch(conn net.Conn, writer *bufio.Writer, line string, outgoing <-chan string) error {
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := writer.WriteString(line); err != nil {
		return err
	}
	for range len(outgoing) {
		if _, err := writer.WriteString(<-outgoing); err != nil {
			return err
		}
	}
	return writer.Flush()
}
