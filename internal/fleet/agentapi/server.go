package agentapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"
)

// Agent answers on the agent's port. Both methods may be called by several connections at once.
type Agent interface {
	// HandleReport takes what a node reports.
	HandleReport(Report) Response
	// HandleOperator takes an operator's request, and gives up when ctx ends. Its error may be a
	// *CallError.
	HandleOperator(context.Context, OperatorRequest) (any, error)
}

const (
	// maxConnections are served at once: a node has one, and for a moment a second while it
	// reconnects, and an operator's lasts for one request.
	maxConnections = 8
	// idleTimeout is how long a connection may send nothing.
	idleTimeout = 10 * time.Second
	// handlerTimeout leaves time to send the answer before the operator's command gives up.
	handlerTimeout = operatorTimeout / 2
)

// Serve answers on a listener until ctx ends, and closes it then. Its error is the listener's. A
// connection beyond maxConnections is closed at once.
func Serve(ctx context.Context, listener net.Listener, agent Agent) error {
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
			stopClosing := context.AfterFunc(ctx, func() { _ = conn.Close() })
			defer stopClosing()
			serveConn(ctx, conn, agent)
		}()
	}
}

// serveConn answers one connection until it breaks off, or was answered as an operator's.
func serveConn(ctx context.Context, conn net.Conn, agent Agent) {
	scanner := newLineScanner(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleTimeout))
		if !scanner.Scan() {
			return
		}
		var line struct {
			Report
			OperatorRequest
		}
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			_ = answer(conn, &CallError{Message: fmt.Sprintf("the line can't be read: %v", err)})
			return
		}
		if line.OperatorRequest.Method != "" {
			_ = answer(conn, handleOperator(ctx, agent, line.OperatorRequest))
			return
		}
		if answer(conn, agent.HandleReport(line.Report)) != nil {
			return
		}
	}
}

// handleOperator returns the agent's answer to an operator, a *CallError for what it rejects.
func handleOperator(ctx context.Context, agent Agent, request OperatorRequest) any {
	ctx, cancel := context.WithTimeout(ctx, handlerTimeout)
	defer cancel()
	result, err := agent.HandleOperator(ctx, request)
	if err != nil {
		return asCallError(err)
	}
	return result
}

func asCallError(err error) *CallError {
	var callError *CallError
	if errors.As(err, &callError) {
		return callError
	}
	return &CallError{Message: err.Error()}
}

func answer(conn net.Conn, message any) error {
	_ = conn.SetWriteDeadline(time.Now().Add(responseTimeout))
	return writeLine(conn, message)
}
