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
	mostConnections = 8
	// silent is how long a connection may say nothing.
	silent = 10 * time.Second
)

// Serve answers on l until ctx ends.
func Serve(ctx context.Context, l net.Listener, a Agent) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	room := make(chan struct{}, mostConnections)
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		select {
		case room <- struct{}{}:
		default:
			_ = conn.Close()
			continue
		}
		go func() {
			defer func() { _ = conn.Close(); <-room }()
			end := context.AfterFunc(ctx, func() { _ = conn.Close() })
			defer end()
			converse(ctx, conn, a)
		}()
	}
}

// converse answers one connection until it breaks off, or has asked as an operator.
func converse(ctx context.Context, conn net.Conn, a Agent) {
	in := lines(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(silent))
		var line struct {
			Report
			OperatorRequest
		}
		if !in.Scan() {
			return
		}
		if err := json.Unmarshal(in.Bytes(), &line); err != nil {
			_ = write(conn, &CallError{Message: fmt.Sprintf("the line can't be read: %v", err)})
			return
		}
		if line.OperatorRequest.Method == "" {
			if write(conn, a.HandleReport(line.Report)) != nil {
				return
			}
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, answering/2)
		answer, err := a.HandleOperator(ctx, line.OperatorRequest)
		cancel()
		if err != nil {
			answer = refused(err)
		}
		_ = write(conn, answer)
		return
	}
}

func refused(err error) *CallError {
	var no *CallError
	if errors.As(err, &no) {
		return no
	}
	return &CallError{Message: err.Error()}
}

func write(conn net.Conn, answer any) error {
	_ = conn.SetWriteDeadline(time.Now().Add(patience))
	return json.NewEncoder(conn).Encode(answer)
}
