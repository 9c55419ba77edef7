package main

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"
)

// LAMEDUCK drains the node: at once it answers PING with no, clients that still come are served and
// then migrated with the others, and later they get a busy answer. REJOIN ends it, in its middle
// too, a hang-up changes nothing of it, and SIGTERM ends the process.
func TestLameDuckAndRejoin(t *testing.T) {
	p, addr, _, _ := startServingNode(t, 1024)
	expectAnswer := func(call, want string) {
		t.Helper()
		if s := p.adminCall(call); !strings.HasPrefix(s, want) {
			t.Fatalf("%s: %q, want %q", call, s, want)
		}
	}
	expectAnswer("REJOIN", "200") // without a drain
	expectAnswer("LAMEDUCK", "200")
	expectAnswer("PING", "400")
	expectAnswer("REJOIN", "200") // of an empty node
	expectAnswer("PING", "200")

	var sessions []*client
	for i := range 8 {
		sessions = append(sessions, openSession(t, addr, fmt.Sprint("a", i)))
	}
	begun := time.Now()
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
	if took := time.Since(begun); took > 3500*time.Millisecond || took < time.Second {
		t.Errorf("it was emptied within %v", took)
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

// However many clients there are, operators are answered: the descriptors that they need are
// reserved for them.
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
		t.Errorf("an ordinary client: %q", s)
	}
}
