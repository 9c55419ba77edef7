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
func TestLameDuck(t *testing.T) {
	var got atomic.Int32
	hop := listen(t, nextHop(&got))
	addr, path := free(t), filepath.Join(t.TempDir(), "config.json")
	configure(t, path, addr, names(t, hop), hop, 1024)
	p := startProcess(t, path, t.TempDir(), nil)
	p.until("PING", "200")
	up := func(id string) *client {
		t.Helper()
		c := call(t, addr, open(id))
		if s := c.line(); s != "UP r1" {
			t.Fatalf("%s: %q", id, s)
		}
		return c
	}
	tell := func(call, want string) {
		t.Helper()
		if s := p.ask(call); !strings.HasPrefix(s, want) {
			t.Fatalf("%s: %q, want %q", call, s, want)
		}
	}
	tell("REJOIN", "200") // without a drain
	tell("LAMEDUCK", "200")
	tell("PING", "400")
	tell("REJOIN", "200") // of an empty node
	tell("PING", "200")

	var standing []*client
	for i := range 8 {
		standing = append(standing, up(fmt.Sprint("a", i)))
	}
	begun := time.Now()
	tell("LAMEDUCK", "200")
	tell("PING", "400")
	if s := call(t, addr, "PING\r\n").line(); s == "PONG" {
		t.Error("the clients' side still says yes")
	}
	standing = append(standing, up("late"))
	tell("LAMEDUCK", "200")
	p.signal(syscall.SIGHUP)
	for i, c := range standing {
		if s := c.line(); s != "MOVE" {
			t.Errorf("connection %d: %q", i, s)
		}
	}
	if took := time.Since(begun); took > 3500*time.Millisecond || took < time.Second {
		t.Errorf("it was emptied within %v", took)
	}
	p.untilHas("balancer.open_requests:0|g\r\n")
	p.untilHas("balancer.cfg_accepted:1|c\r\n")
	tell("PING", "400")
	if s := call(t, addr, open("refused")).line(); s != "BUSY 500" {
		t.Errorf("who comes later: %q", s)
	}
	tell("REJOIN", "200")
	tell("REJOIN", "200")
	tell("PING", "200")

	stays := up("b")
	tell("LAMEDUCK", "200")
	tell("REJOIN", "200") // before anybody was moved
	fmt.Fprint(stays, "are you there\r\n")
	if s := stays.line(); s != "yes" {
		t.Errorf("after the end of a drain: %q", s)
	}
	tell("LAMEDUCK", "200")
	p.movesAndEnds(stays)
}

// However many callers there are, operators are answered: the descriptors that they need
// are kept for them.
func TestOperatorsBesideACrowd(t *testing.T) {
	t.Setenv("TEST_NOFILE", "64")
	var got atomic.Int32
	hop := listen(t, nextHop(&got))
	addr, path := free(t), filepath.Join(t.TempDir(), "config.json")
	configure(t, path, addr, names(t, hop), hop, 64)
	p := startProcess(t, path, t.TempDir(), nil)
	p.until("PING", "200")
	for i := range 120 {
		call(t, addr, "")
		call(t, p.mgmt, []string{"", "PIN", strings.Repeat("x", 3000)}[i%3])
	}
	for range 20 {
		if s := p.ask("PING"); s != "200 OK\r\n" {
			t.Errorf("ping: %q", s)
		}
		if s := p.ask("INFO"); !strings.HasSuffix(s, "EOF\r\n") {
			t.Errorf("info: %q", s)
		}
	}
	if s := call(t, addr, open("a")).line(); s != "UP r1" {
		t.Errorf("a usual caller: %q", s)
	}
}
