package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// started is a process that serves, and what its next hop got of first lines.
func started(t *testing.T, sockets int) (p *process, addr, path string, got *atomic.Int32) {
	t.Helper()
	got = &atomic.Int32{}
	hop := listen(t, nextHop(got))
	addr, path = free(t), filepath.Join(t.TempDir(), "config.json")
	configure(t, path, addr, names(t, hop), hop, sockets)
	p = startProcess(t, path, t.TempDir(), nil)
	p.until("PING", "200")
	return p, addr, path, got
}

// rest is all that comes until the end, which must be one in good order.
func (c *client) rest() string {
	c.t.Helper()
	text, err := io.ReadAll(c.r)
	if err != nil {
		c.t.Errorf("after %q: %v", text, err)
	}
	return string(text)
}

// pipe takes a file's place: who reads it waits until something is written.
func pipe(t *testing.T, path string) {
	t.Helper()
	_ = os.Remove(path)
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
}

// A first line counts as it stands when the node is told to end: what was whole is served,
// what becomes whole after that is refused, what never does is refused at the latest when
// the node ends; each has one answer and an end in good order.
func TestFirstLinesAroundTheEnd(t *testing.T) {
	p, addr, _, got := started(t, 1024)
	type party struct {
		name, before, after, late, want string // late: once it has been answered
		*client
	}
	parties := []*party{
		{name: "whole before", before: open("a"), want: "UP r1\r\nMOVE\r\n"},
		{name: "whole before, in pieces", before: "OP|EN b k1 c=fe|ed,d=1200\r|\n", want: "UP r1\r\nMOVE\r\n"},
		{name: "over the end", before: "OPEN c k1 c=fe", after: "ed,d=1200\r\n", want: "BUSY 500\r\n"},
		{name: "its end over the end", before: "OPEN d k1 c=feed,d=1200\r", after: "\n", want: "BUSY 500\r\n"},
		{name: "whole after", after: open("e"), want: "BUSY 500\r\n"},
		{name: "whole after, in pieces", after: "OPEN f k|1 c=feed,|d=1200\r\n", want: "BUSY 500\r\n"},
		{name: "half before", before: "OPEN g k1 c=fe", late: "ed,d=1200\r\n", want: "BUSY 500\r\n"},
		{name: "half after", after: "OPEN h k1 c=fe", late: "ed,d=1200\r\n", want: "BUSY 500\r\n"},
		{name: "nothing", late: open("i"), want: "BUSY 500\r\n"},
		{name: "PING before", before: "PING\r\n", late: open("j"), want: "PONG\r\nBUSY 500\r\n"},
		{name: "PING after", after: "PING\r\n", late: open("k"), want: "BUSY 500\r\nBUSY 500\r\n"},
		{name: "no line", after: "HELLO\r\n", late: open("l"), want: "ERR\r\n"},
	}
	say := func(to *client, text string) {
		for _, piece := range strings.Split(text, "|") {
			fmt.Fprint(to, piece)
		}
	}
	for _, c := range parties {
		c.client = call(t, addr, "")
		say(c.client, c.before)
		if c.before == "PING\r\n" { // it is read before
			_, _ = c.r.Peek(len("PONG\r\n"))
		}
	}
	for begun := time.Now(); got.Load() < 2 && time.Since(begun) < patience; {
		time.Sleep(time.Millisecond)
	}
	p.signal(syscall.SIGTERM)
	p.until("PING", "400")
	for _, c := range parties {
		say(c.client, c.after)
	}
	for _, c := range parties {
		if c.late != "" {
			answered, _ := c.r.Peek(len(c.want))
			if string(answered) != c.want {
				t.Errorf("%s: %q, want %q", c.name, answered, c.want)
			}
			fmt.Fprint(c, c.late)
		}
		if s := c.rest(); s != c.want {
			t.Errorf("%s: %q, want %q", c.name, s, c.want)
		}
		c.Close()
	}
	if err := p.ends(patience); err != nil {
		t.Errorf("it ended with %v\n%s", err, p.log)
	}
	if n := got.Load(); n != 2 {
		t.Errorf("%d first lines went on, want 2", n)
	}
}

// A node that is told to end while it starts comes up, turns callers away and ends in good
// order; so it does however often it is told.
func TestTerminatedInItsStart(t *testing.T) {
	var got atomic.Int32
	hop := listen(t, nextHop(&got))
	addr, path := free(t), filepath.Join(t.TempDir(), "config.json")
	configure(t, path, addr, names(t, hop), hop, 1024)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	pipe(t, path)
	p := startProcess(t, path, t.TempDir(), nil)
	config, err := os.OpenFile(path, os.O_WRONLY, 0) // returns when the node reads it
	if err != nil {
		t.Fatal(err)
	}
	p.signal(syscall.SIGTERM)
	if _, err := config.Write(text); err != nil {
		t.Fatal(err)
	}
	config.Close()
	ready(t, addr)
	if s := call(t, addr, open("a")).rest(); s != "BUSY 500\r\n" {
		t.Errorf("a caller: %q", s)
	}
	for ended := false; !ended; {
		select {
		case err := <-p.end:
			if ended = true; err != nil {
				t.Errorf("it ended with %v\n%s", err, p.log)
			}
		default:
			_ = p.Process.Signal(syscall.SIGTERM)
		}
	}
	if got.Load() > 0 {
		t.Error("a first line went on")
	}
}

// A successor that is told to end while it waits for discovery ends at once, and the process
// that serves goes on.
func TestSuccessorTerminatedBeforeItIsReady(t *testing.T) {
	var got atomic.Int32
	hop := listen(t, nextHop(&got))
	addr, file := held(t)
	dir, tmp := t.TempDir(), t.TempDir()
	path, silent := filepath.Join(dir, "config.json"), filepath.Join(dir, "silent.json")
	configure(t, path, addr, names(t, hop), hop, 256)
	asked := make(chan struct{}, 16)
	configure(t, silent, addr, listen(t, func(conn net.Conn) { asked <- struct{}{}; _, _ = io.Copy(io.Discard, conn) }), hop, 256)
	old := startProcess(t, path, tmp, file)
	old.until("PING", "200")
	standing := call(t, addr, open("a"))
	if s := standing.line(); s != "UP r1" {
		t.Fatal(s)
	}
	next := startProcess(t, silent, tmp, file)
	<-asked
	if s := next.ask("PING"); !strings.HasPrefix(s, "400") {
		t.Fatalf("it is ready: %q", s)
	}
	begun := time.Now()
	next.signal(syscall.SIGTERM)
	if err := next.ends(patience); err != nil {
		t.Errorf("it ended with %v\n%s", err, next.log)
	}
	if took := time.Since(begun); took > 1500*time.Millisecond {
		t.Errorf("it took %v", took)
	}
	fmt.Fprint(standing, "are you there\r\n")
	if s := standing.line(); s != "yes" {
		t.Errorf("relayed %q", s)
	}
	if s := call(t, addr, open("b")).line(); s != "UP r1" {
		t.Errorf("a new caller: %q", s)
	}
	old.movesAndEnds(standing)
}

// An operator's drain that has begun becomes the end's: who was not moved yet is, and
// REJOIN changes nothing any more.
func TestTerminatedInADrain(t *testing.T) {
	p, addr, _, _ := started(t, 1024)
	standing := call(t, addr, open("a"))
	if s := standing.line(); s != "UP r1" {
		t.Fatal(s)
	}
	rests := call(t, addr, "")
	p.ask("LAMEDUCK")
	begun := time.Now()
	p.signal(syscall.SIGTERM)
	for p.ask("REJOIN"); !strings.HasPrefix(p.ask("PING"), "400"); p.ask("REJOIN") { // until it is the end's
	}
	if s := standing.rest(); s != "MOVE\r\n" {
		t.Errorf("standing: %q", s)
	}
	standing.Close()
	if s := rests.rest(); s != "BUSY 500\r\n" {
		t.Errorf("who rests: %q", s)
	}
	rests.Close()
	if err := p.ends(patience); err != nil {
		t.Errorf("it ended with %v\n%s", err, p.log)
	}
	if took, most := time.Since(begun), 1700*time.Millisecond; took > most {
		t.Errorf("it took %v, want at most %v", took, most)
	}
}
