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

// agent answers with what it is asked.
type echoAgent struct{}

func (echoAgent) HandleReport(s Report) Response {
	return Response{QuotaLease: balance.QuotaLease{RetryBudget: s.FirstAttempts}}
}
func (echoAgent) HandleOperator(_ context.Context, a OperatorRequest) (any, error) {
	if a.Method == "lost" {
		return nil, &CallError{Message: "who knows", OutcomeUnknown: true}
	}
	return a.Entry, nil
}

// Whatever others send on the port, and however many they are, a node is answered.
func TestAnswersANodeBesideIdleAndHostileConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- Serve(ctx, listener, echoAgent{}) }()
	responses, disconnects := make(chan Response, 100), make(chan error, 100)
	node := &Client{Addr: addr, MakeReport: func() (s Report) { s.FirstAttempts = 3; return s },
		HandleResponse: func(response Response) { responses <- response }, OnDisconnect: func(err error) { disconnects <- err }}
	ended := make(chan struct{})
	go func() { defer close(ended); node.Run(ctx) }()
	<-responses
	var conns []net.Conn
	for range 2 * maxConnections { // silent ones, of which some are sent away
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn)
	}
	_ = conns[len(conns)-1].SetReadDeadline(time.Now().Add(5 * time.Second))
	if n, err := conns[len(conns)-1].Read(make([]byte, 1)); n != 0 || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("one too many reads %d bytes, %v", n, err)
	}
	endless := []byte(strings.Repeat("x", 64<<10))
	for n := 0; n <= 2*MaxLineBytes+8<<20; n += len(endless) {
		if _, err = conns[0].Write(endless); err != nil {
			break
		}
	}
	if err == nil {
		t.Error("a line without an end is taken")
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
		t.Errorf("the node was let go: %v", <-disconnects)
	}
	cancel()
	if err := <-served; err != nil {
		t.Error(err)
	}
	<-ended
}

func TestCallReturnsTheAgentsErrors(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- Serve(ctx, listener, echoAgent{}) }()
	var got []int
	if err := Call(addr, OperatorRequest{Method: "echo", Entry: []byte("[1,2]")}, &got); err != nil || len(got) != 2 {
		t.Errorf("%v, %v", got, err)
	}
	var callError *CallError
	if err := Call(addr, OperatorRequest{Method: "lost"}, &got); !errors.As(err, &callError) || !callError.OutcomeUnknown || callError.Message != "who knows" {
		t.Errorf("%v", err)
	}
	cancel()
	if err := <-served; err != nil {
		t.Error(err)
	}
	if err := Call(addr, OperatorRequest{Method: "echo"}, &got); err == nil || !strings.Contains(err.Error(), "fleet agent") {
		t.Errorf("%v", err)
	}
}
