package agentapi

import (
	"context"
	"errors"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"coralrelay/balance"
)

// echoAgent responds with values from the request.
type echoAgent struct{}

func (echoAgent) HandleReport(report Report) Response {
	return Response{QuotaLease: balance.QuotaLease{RetryBudget: report.FirstAttempts}}
}

func (echoAgent) HandleOperator(_ context.Context, request OperatorRequest) (any, error) {
	if request.Method == "lost" {
		return nil, &CallError{Message: "outcome unknown", OutcomeUnknown: true}
	}
	return request.Entry, nil
}

// serveEcho serves an echoAgent until the test ends or stop is called. stop waits for the server to
// return; ctx ends with the server.
func serveEcho(t *testing.T) (ctx context.Context, addr string, stop func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- Serve(ctx, listener, echoAgent{}) }()
	return ctx, listener.Addr().String(), func() {
		cancel()
		if err := <-served; err != nil {
			t.Error(err)
		}
	}
}

// dialMany opens more connections than the server allows, so that it closes some immediately.
func dialMany(t *testing.T, addr string) (conns []net.Conn) {
	t.Helper()
	for range 2 * maxConnections {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn)
	}
	return conns
}

// writeEndlessLine writes a line without an end until the server closes the connection, and returns
// the error of that write, or nil if the server accepts far more than MaxLineBytes.
func writeEndlessLine(conn net.Conn) error {
	chunk := []byte(strings.Repeat("x", 64<<10))
	for written := 0; written <= 2*MaxLineBytes+8<<20; written += len(chunk) {
		if _, err := conn.Write(chunk); err != nil {
			return err
		}
	}
	return nil
}

// A node receives responses while other clients hold more connections than the server allows and one
// sends an endless line.
func TestAnswersANodeBesideIdleAndHostileConnections(t *testing.T) {
	ctx, addr, stop := serveEcho(t)
	responses, disconnects := make(chan Response, 100), make(chan error, 100)
	node := &Client{
		Addr:           addr,
		MakeReport:     func() (report Report) { report.FirstAttempts = 3; return report },
		HandleResponse: func(response Response) error { responses <- response; return nil },
		OnDisconnect:   func(err error) { disconnects <- err },
	}
	ended := make(chan struct{})
	go func() { defer close(ended); node.Run(ctx) }()
	<-responses
	conns := dialMany(t, addr)
	last := conns[len(conns)-1]
	_ = last.SetReadDeadline(time.Now().Add(5 * time.Second))
	if n, err := last.Read(make([]byte, 1)); n != 0 || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("connection beyond the limit: read %d bytes, %v", n, err)
	}
	if writeEndlessLine(conns[0]) == nil {
		t.Error("a line without an end is accepted")
	}
	for range cap(responses) {
		if response := <-responses; response.RetryBudget != 3 {
			t.Fatalf("%+v", response)
		}
		if len(responses) == 0 {
			break
		}
	}
	for _, conn := range conns {
		_ = conn.Close()
	}
	if len(disconnects) > 0 {
		t.Errorf("the node was disconnected: %v", <-disconnects)
	}
	stop()
	<-ended
}

func TestCallReturnsTheAgentsErrors(t *testing.T) {
	_, addr, stop := serveEcho(t)
	var got []int
	if err := Call(addr, OperatorRequest{Method: "echo", Entry: []byte("[1,2]")}, &got); err != nil ||
		len(got) != 2 {
		t.Errorf("echo returned %v, %v", got, err)
	}
	want := CallError{Message: "outcome unknown", OutcomeUnknown: true}
	var callError *CallError
	if err := Call(addr, OperatorRequest{Method: "lost"}, &got); !errors.As(err, &callError) ||
		*callError != want {
		t.Errorf("%v", err)
	}
	stop()
	err := Call(addr, OperatorRequest{Method: "echo"}, &got)
	if err == nil || !strings.Contains(err.Error(), "fleet agent") {
		t.Errorf("%v", err)
	}
}
