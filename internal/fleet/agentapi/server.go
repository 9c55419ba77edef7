package agentapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"
)

// Agent answers on the agent's port. Both may be called by several connections at once.
type Agent interface {
	// Answer takes what a node has said.
	HandleReport(Report) Response
	// Operator takes an operator's ask, and gives up when ctx ends. Its error may be a
	// *Refusal.
	HandleOperator(context.Context, OperatorRequest) (any, error)
}

const (
	// mostConnections are served at once: a node has one, and for a moment a second while
	// it makes it anew, and an operator's lasts for one ask.
	maxConnections = 8
	// silent is how long a connection may say nothing.
	idleTimeout = 10 * time.Second
)

// Serve answers on l until ctx ends.
func Serve(ctx context.Context, listener net.Listener, a Agent) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	slots := make(chan struct{}, maxConnections)
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		select {
		case slots <- struct{}{}:
		default:
			_ = conn.Close()
			continue
		}
		go func() {
			defer func() { _ = conn.Close(); <-slots }()
			end := context.AfterFunc(ctx, func() { _ = conn.Close() })
			defer end()
			serveConn(ctx, conn, a)
		}()
	}
}

// converse answers one connection until it breaks off, or has asked as an operator.
func serveConn(ctx context.Context, conn net.Conn, agent Agent) {
	scanner := newLineScanner(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleTimeout))
		var line struct {
			Report
			OperatorRequest
		}
		if !scanner.Scan() {
			return
		}
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			_ = writeLine(conn, &CallError{Message: fmt.Sprintf("the line can't be read: %v", err)})
			return
		}
		if line.OperatorRequest.Method == "" {
			if writeLine(conn, agent.HandleReport(line.Report)) != nil {
				return
			}
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, operatorTimeout/2)
		answer, err := agent.HandleOperator(ctx, line.OperatorRequest)
		cancel()
		if err != nil {
			answer = asCallError(err)
		}
		_ = writeLine(conn, answer)
		return
	}
}

func asCallError(err error) *CallError {
	var callError *CallError
	if errors.As(err, &callError) {
		return callError
	}
	return &CallError{Message: err.Error()}
}

func writeLine(conn net.Conn, message any) error {
	_ = conn.SetWriteDeadline(time.Now().Add(responseTimeout))
	return json.NewEncoder(conn).Encode(message)
}
