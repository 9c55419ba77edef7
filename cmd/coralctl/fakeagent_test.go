package main

import (
	"context"
	"crypto/ed25519"
	"net"
	"sync"
	"testing"

	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/fleet/logentry"
)

// fakeAgent is an agentapi.Agent that keeps the state of the replicated log in memory.
type fakeAgent struct {
	mu       sync.Mutex
	logState *logentry.State
}

// startFakeAgent serves a fakeAgent, whose accounts have the given root key, until the test ends,
// and returns its address.
func startFakeAgent(t *testing.T, rootKey ed25519.PublicKey) string {
	t.Helper()
	logState, err := logentry.NewState(logentry.Genesis{RootKey: rootKey})
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	serveResult := make(chan error)
	go func() { serveResult <- agentapi.Serve(t.Context(), listener, &fakeAgent{logState: logState}) }()
	t.Cleanup(func() {
		if err := <-serveResult; err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

// HandleReport returns an empty response: no node reports to a fakeAgent.
func (a *fakeAgent) HandleReport(agentapi.Report) (response agentapi.Response) { return response }

// HandleOperator returns the state, applies a proposed entry to it, or checks an entry against it.
func (a *fakeAgent) HandleOperator(_ context.Context, request agentapi.OperatorRequest) (any, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if request.Method == methodRecord {
		return a.logState, nil
	}
	next, outcome := a.logState.Apply(request.Entry)
	if request.Method == methodPropose {
		a.logState = next
	}
	return map[string]any{"outcome": outcome}, nil
}
