package replayguard

import (
	"bufio"
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"coralrelay/internal/logging"
	"coralrelay/internal/resumetoken"
)

const (
	// callers is how many nodes may be connected at once.
	maxConnections = 64
	// answers is how many answers may wait for one of them; beyond it the
	// connection ends, as a commit must not wait for a slow reader.
	maxQueuedResponses = 1024
	// idle ends a connection: a peer says something every helloEvery.
	idleTimeout = 10 * time.Second
	// writing is how long a write may block.
	writeTimeout = time.Second
)

// Server answers other nodes' ledgers.
type Server struct {
	Name     string
	Guard    *Guard
	KeyRing  func() *resumetoken.KeyRing
	failures logging.Throttled
}

// Serve answers until ctx ends; it closes the listener.
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
			s.failures.Warn("ledger: accept", "err", err)
			time.Sleep(5 * time.Millisecond)
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

// serve answers one connection. Answers go out in a goroutine of their own, since
// they come when a group is durable.
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
	reader := bufio.NewReaderSize(conn, maxLineBytes)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleTimeout))
		fields, err := readFields(reader, 0)
		if err == nil {
			err = s.handleRequest(fields, respond)
		}
		if err != nil {
			if ctx.Err() == nil && errors.Is(err, errMalformedLine) {
				s.failures.Warn("ledger: refused", "from", conn.RemoteAddr().String(), "err", err)
				_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
				_, _ = conn.Write([]byte(refusedMessage + "\r\n"))
			}
			return
		}
	}
}

// write sends what comes, several lines at once where they wait.
func writeLines(ctx context.Context, conn net.Conn, outgoing <-chan string) {
	writer := bufio.NewWriter(conn)
	for {
		select {
		case <-ctx.Done():
			return
		case line := <-outgoing:
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			_, err := writer.WriteString(line)
			for n := len(outgoing); n > 0 && err == nil; n-- {
				_, err = writer.WriteString(<-outgoing)
			}
			if err == nil {
				err = writer.Flush()
			}
			if err != nil {
				_ = conn.Close()
				return
			}
		}
	}
}

func (s *Server) handleRequest(fields []string, respond func(string)) error {
	switch {
	case fields[0] == helloMessage && len(fields) == 5:
	case fields[0] == spendMessage && len(fields) == 7:
	default:
		return fmt.Errorf("%w: %.60q", errMalformedLine, fields)
	}
	challenge, sequence := fields[1], fields[2]
	id, err := strconv.ParseUint(fields[3], 16, 32)
	key, known := s.KeyRing().Get(resumetoken.KeyID(id))
	if err != nil || !known || !verifyLine(key, "ask", fields) {
		return fmt.Errorf("%w: its seal does not fit, key %.10q", errMalformedLine, fields[3])
	}
	macContext := "answer " + challenge
	if fields[0] == helloMessage {
		readiness, durability := "full", "goes"
		if s.Guard.IsReady() {
			readiness = "ready"
		}
		if s.Guard.IsDurable {
			durability = "stays"
		}
		respond(authenticatedLine(key, macContext, statusMessage, sequence, s.Name, hex.EncodeToString(s.Guard.ID[:]), readiness, durability))
		return nil
	}
	var redemptionID resumetoken.RedemptionID
	if n, err := hex.Decode(redemptionID[:], []byte(fields[4])); err != nil || n != len(redemptionID) {
		return fmt.Errorf("%w: claimant %.40q", errMalformedLine, fields[4])
	}
	reply := func(v resumetoken.Verdict) {
		respond(authenticatedLine(key, macContext, verdictMessage, sequence, v.String()))
	}
	token, err := resumetoken.Open(s.KeyRing(), fields[5])
	if err != nil {
		reply(resumetoken.Invalid)
		return nil
	}
	s.Guard.Spend(&token, redemptionID, reply)
	return nil
}
