package main

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"
)

// LAMEDUCK drains the node: PING is answered with 400 at once; clients that still connect are served at first
// and migrated with the others, and are rejected with BUSY later. REJOIN ends the drain at any point, SIGHUP
// does not affect it, and SIGTERM ends the process.
func TestLameDuckAndRejoin(t *testing.T) {
	p, addr, _, _ := startServingNode(t, 1024)
	expectAnswer := func(call, want string) {
		t.Helper()
		if s := p.adminCall(call); !strings.HasPrefix(s, want) {
			t.Fatalf("%s: %q, want %q", call, s, want)
		}
	}
	expectAnswer("REJOIN", "200") // while the node does not drain
	expectAnswer("LAMEDUCK", "200")
	expectAnswer("PING", "400")
	expectAnswer("REJOIN", "200") // while the node has no sessions
	expectAnswer("PING", "200")

	var sessions []*client
	for i := range 8 {
		sessions = append(sessions, openSession(t, addr, fmt.Sprint("a", i)))
	}
	start := time.Now()
	expectAnswer("LAMEDUCK", "200")
	expectAnswer("PING", "400")
	if s := dialClient(t, addr, "PING\r\n").readLine(); s == "PONG" {
		t.Error("the clients' listener still answers PONG")
	}
	sessions = append(sessions, openSession(t, addr, "late"))
	expectAnswer("LAMEDUCK", "200")
	p.signal(syscall.SIGHUP)
	for i, c := range sessions {
		if s := c.readLine(); s != "MOVE" {
			t.Errorf("session %d: %q", i, s)
		}
	}
	if took := time.Since(start); took > 3500*time.Millisecond || took < time.Second {
		t.Errorf("the sessions were migrated within %v, want 1 s to 3.5 s", took)
	}
	p.untilMetrics("balancer.open_requests:0|g\r\n")
	p.untilMetrics("balancer.cfg_accepted:1|c\r\n")
	expectAnswer("PING", "400")
	if s := dialClient(t, addr, openLine("refused")).readLine(); s != "BUSY 500" {
		t.Errorf("a later client: %q", s)
	}
	expectAnswer("REJOIN", "200")
	expectAnswer("REJOIN", "200")
	expectAnswer("PING", "200")

	session := openSession(t, addr, "b")
	expectAnswer("LAMEDUCK", "200")
	expectAnswer("REJOIN", "200") // before any session was migrated
	session.expectRelayed("after the end of a drain")
	expectAnswer("LAMEDUCK", "200")
	p.expectMoveAndExit(session)
}

// Operators are answered however many clients are connected, because descriptors are reserved for their
// calls.
func TestOperatorsAreAnsweredUnderOverload(t *testing.T) {
	t.Setenv("TEST_NOFILE", "64")
	p, addr, _, _ := startServingNode(t, 64)
	for i := range 120 {
		dialClient(t, addr, "")
		dialClient(t, p.adminAddr, []string{"", "PIN", strings.Repeat("x", 3000)}[i%3])
	}
	for range 20 {
		if s := p.adminCall("PING"); s != "200 OK\r\n" {
			t.Errorf("ping: %q", s)
		}
		if s := p.adminCall("INFO"); !strings.HasSuffix(s, "EOF\r\n") {
			t.Errorf("info: %q", s)
		}
	}
	if s := dialClient(t, addr, openLine("a")).readLine(); s != "UP r1" {
		t.Errorf("a client with a valid request: %q", s)
	}
}
