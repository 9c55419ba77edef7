package agentapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"
)

// Agent handles the requests that Serve receives. Both methods may be called concurrently.
type Agent interface {
	// HandleReport handles a node's report and returns the response to it.
	HandleReport(Report) Response
	// HandleOperator handles an operator's request and returns when ctx ends at the latest. Its
	// error may be a *CallError.
	HandleOperator(context.Context, OperatorRequest) (any, error)
}

const (
	// maxConnections is the maximum number of concurrent connections. A node has one, briefly two
	// while it reconnects, and an operator's connection lasts for one request.
	maxConnections = 8
	// idleTimeout is how long a connection may be idle before it is closed.
	idleTimeout = 10 * time.Second
	// handlerTimeout bounds HandleOperator. It is below operatorTimeout so that the response reaches
	// the operator's command before the command times out.
	handlerTimeout = operatorTimeout / 2
)

// Serve accepts connections on a listener until ctx ends, and then closes the listener. It returns
// the error of Accept. Connections beyond maxConnections are closed immediately.
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

// serveConn serves a node's connection until it fails, or responds to one operator's request.
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
			_ = writeResponse(conn, &CallError{Message: fmt.Sprintf("the line can't be read: %v", err)})
			return
		}
		if line.OperatorRequest.Method != "" {
			_ = writeResponse(conn, handleOperator(ctx, agent, line.OperatorRequest))
			return
		}
		if writeResponse(conn, agent.HandleReport(line.Report)) != nil {
			return
		}
	}
}

// handleOperator returns the agent's response to an operator's request: a *CallError if the agent
// rejects the request.
func handleOperator(ctx context.Context, agent Agent, request OperatorRequest) any {
	ctx, cancel := context.WithTimeout(ctx, handlerTimeout)
	defer cancel()
	result, err := agent.HandleOperator(ctx, request)
	if err != nil {
		return toCallError(err)
	}
	return result
}

func toCallError(err error) *CallError {
	var callError *CallError
	if errors.As(err, &callError) {
		return callError
	}
	return &CallError{Message: err.Error()}
}

func writeResponse(conn net.Conn, message any) error {
	_ = conn.SetWriteDeadline(time.Now().Add(responseTimeout))
	return writeLine(conn, message)
}
