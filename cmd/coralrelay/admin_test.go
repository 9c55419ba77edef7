package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// LAMEDUCK empties the node: at once it says no, who still comes is served and then moved
// with the others, and later there is a busy answer. REJOIN ends it, in its middle too, a
// hang-up changes nothing of it, and SIGTERM ends the process.
func TestLameDuckAndRejoin(t *testing.T) {
	var got atomic.Int32
	upstreamAddr := listen(t, serveUpstream(&got))
	addr, path := freeAddr(t), filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, addr, startDiscovery(t, upstreamAddr), upstreamAddr, 1024)
	p := startProcess(t, path, t.TempDir(), nil)
	p.untilAnswer("PING", "200")
	openSession := func(id string) *client {
		t.Helper()
		c := dialClient(t, addr, openLine(id))
		if s := c.readLine(); s != "UP r1" {
			t.Fatalf("%s: %q", id, s)
		}
		return c
	}
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
		sessions = append(sessions, openSession(fmt.Sprint("a", i)))
	}
	begun := time.Now()
	expectAnswer("LAMEDUCK", "200")
	expectAnswer("PING", "400")
	if s := dialClient(t, addr, "PING\r\n").readLine(); s == "PONG" {
		t.Error("the clients' side still says yes")
	}
	sessions = append(sessions, openSession("late"))
	expectAnswer("LAMEDUCK", "200")
	p.signal(syscall.SIGHUP)
	for i, c := range sessions {
		if s := c.readLine(); s != "MOVE" {
			t.Errorf("connection %d: %q", i, s)
		}
	}
	if took := time.Since(begun); took > 3500*time.Millisecond || took < time.Second {
		t.Errorf("it was emptied within %v", took)
	}
	p.untilMetrics("balancer.open_requests:0|g\r\n")
	p.untilMetrics("balancer.cfg_accepted:1|c\r\n")
	expectAnswer("PING", "400")
	if s := dialClient(t, addr, openLine("refused")).readLine(); s != "BUSY 500" {
		t.Errorf("who comes later: %q", s)
	}
	expectAnswer("REJOIN", "200")
	expectAnswer("REJOIN", "200")
	expectAnswer("PING", "200")

	session := openSession("b")
	expectAnswer("LAMEDUCK", "200")
	expectAnswer("REJOIN", "200") // before anybody was moved
	fmt.Fprint(session, "are you there\r\n")
	if s := session.readLine(); s != "yes" {
		t.Errorf("after the end of a drain: %q", s)
	}
	expectAnswer("LAMEDUCK", "200")
	p.expectMoveAndExit(session)
}

// However many callers there are, operators are answered: the descriptors that they need
// are kept for them.
func TestOperatorsAreAnsweredUnderOverload(t *testing.T) {
	t.Setenv("TEST_NOFILE", "64")
	var got atomic.Int32
	upstreamAddr := listen(t, serveUpstream(&got))
	addr, path := freeAddr(t), filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, addr, startDiscovery(t, upstreamAddr), upstreamAddr, 64)
	p := startProcess(t, path, t.TempDir(), nil)
	p.untilAnswer("PING", "200")
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
		t.Errorf("a usual caller: %q", s)
	}
}
