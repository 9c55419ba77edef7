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
type agent struct{}

func (agent) HandleReport(s Report) Response {
	return Response{QuotaLease: balance.QuotaLease{RetryBudget: s.FirstAttempts}}
}
func (agent) HandleOperator(_ context.Context, a OperatorRequest) (any, error) {
	if a.Method == "lost" {
		return nil, &CallError{Message: "who knows", OutcomeUnknown: true}
	}
	return a.Entry, nil
}

// Whatever others send on the port, and however many they are, a node is answered.
func TestServe(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- Serve(ctx, l, agent{}) }()
	told, lost := make(chan Response, 100), make(chan error, 100)
	node := &Client{Addr: addr, MakeReport: func() (s Report) { s.FirstAttempts = 3; return s },
		HandleResponse: func(g Response) { told <- g }, OnDisconnect: func(err error) { lost <- err }}
	ended := make(chan struct{})
	go func() { defer close(ended); node.Run(ctx) }()
	<-told
	var all []net.Conn
	for range 2 * mostConnections { // silent ones, of which some are sent away
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, c)
	}
	_ = all[len(all)-1].SetReadDeadline(time.Now().Add(5 * time.Second))
	if n, err := all[len(all)-1].Read(make([]byte, 1)); n != 0 || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("one too many reads %d bytes, %v", n, err)
	}
	endless := []byte(strings.Repeat("x", 64<<10))
	for n := 0; n <= 2*MaxLineBytes+8<<20; n += len(endless) {
		if _, err = all[0].Write(endless); err != nil {
			break
		}
	}
	if err == nil {
		t.Error("a line without an end is taken")
	}
	for range cap(told) {
		if g := <-told; g.RetryBudget != 3 {
			t.Fatalf("%+v", g)
		}
		if len(told) == 0 {
			break
		}
	}
	for _, c := range all {
		_ = c.Close()
	}
	if len(lost) > 0 {
		t.Errorf("the node was let go: %v", <-lost)
	}
	cancel()
	if err := <-served; err != nil {
		t.Error(err)
	}
	<-ended
}

func TestCall(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- Serve(ctx, l, agent{}) }()
	var got []int
	if err := Call(addr, OperatorRequest{Method: "echo", Entry: []byte("[1,2]")}, &got); err != nil || len(got) != 2 {
		t.Errorf("%v, %v", got, err)
	}
	var no *CallError
	if err := Call(addr, OperatorRequest{Method: "lost"}, &got); !errors.As(err, &no) || !no.OutcomeUnknown || no.Message != "who knows" {
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
