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
	// maxConnections is the maximum number of connections of peers.
	maxConnections = 64
	// maxQueuedResponses is the maximum number of queued responses per connection. If the queue
	// is full, the connection is closed, because a commit must not wait for a slow reader.
	maxQueuedResponses = 1024
	// idleTimeout is how long a connection may receive nothing before it is closed. A peer sends
	// a request every statusInterval.
	idleTimeout = 10 * time.Second
	// writeTimeout is how long a write to a connection may block.
	writeTimeout = time.Second
	// acceptRetryDelay is the delay after a failed accept.
	acceptRetryDelay = 5 * time.Millisecond
)

// Server answers the requests of other nodes to the guard of its node.
type Server struct {
	Name     string // of the node
	Guard    *Guard
	KeyRing  func() *resumetoken.KeyRing
	warnings logging.Throttled
}

// Serve accepts connections until ctx ends or the listener is closed. It closes the listener when
// ctx ends. It returns nil after all connections have ended.
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
			s.warnings.Warn("replay guard accept failed", "component", component, "error", err)
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

// serveConnection serves a connection until it or ctx ends or a request is rejected. A separate
// goroutine writes the responses, because a verdict is available only when its batch is durable.
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
	var rejection *protocolError
	if ctx.Err() == nil && errors.As(err, &rejection) {
		s.warnings.Warn("replay guard request rejected", "component", component,
			"remote_address", conn.RemoteAddr().String(), "error", err)
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, _ = conn.Write([]byte(rejectedMessage + lineEnd))
	}
}

// readRequests handles requests until the connection ends or a request is rejected.
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

// handleRequest handles one request. The response to a SPEND is sent when its verdict is durable.
// The error is a *protocolError.
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

// writeLines writes queued lines, several at once if possible. It returns when ctx ends. If a write
// fails, it closes the connection and returns.
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

// writeBatch writes a line and the lines that are queued behind it.
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
