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

	"coralrelay/internal/testsocket"
)

// A planned restart migrates the sessions, rejects new clients, and completes in time.
func TestTerminationMovesSessions(t *testing.T) {
	var firstLines atomic.Int32
	addr, terminate, done := startNode(t, testsocket.Serve(t, serveUpstream(&firstLines)), 1024)
	var sessions []*client
	for i := range 8 {
		sessions = append(sessions, openSession(t, addr, fmt.Sprint("a", i)))
	}
	start := time.Now()
	terminate()
	first := sessions[0].readLine() // the other sessions are still open when the next client connects
	if after := time.Since(start); after < 500*time.Millisecond {
		t.Errorf("migrated after %v, while the front still sends clients to this node", after)
	}
	if s := dialClient(t, addr, openLine("b")).readLine(); s != "BUSY 500" {
		t.Errorf("a new client: %q", s)
	}
	for _, c := range sessions[1:] {
		if s := c.readLine(); s != "MOVE" || first != "MOVE" {
			t.Errorf("the first session: %q, another one: %q", first, s)
		}
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	if took, most := time.Since(start), 1900*time.Millisecond; took > most {
		t.Errorf("took %v, want at most %v", took, most)
	}
}

// replaceWithFIFO replaces the file with a FIFO, so that a process that reads it waits until the test
// writes to it.
func replaceWithFIFO(t *testing.T, path string) {
	t.Helper()
	_ = os.Remove(path)
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
}

// What has arrived of a first line at the time of the termination decides its treatment: a line that was
// complete is served, a line that becomes complete later is rejected, and a line that never becomes
// complete is rejected when the node ends at the latest. Each client gets one answer, and its connection
// ends without a reset.
func TestFirstLinesAroundTermination(t *testing.T) {
	p, addr, _, firstLines := startServingNode(t, 1024)
	type testCase struct {
		name, before, after, late, want string // late is sent after the answer; | separates writes
		*client
	}
	cases := []*testCase{
		{name: "complete before", before: openLine("a"), want: "UP r1\r\nMOVE\r\n"},
		{name: "complete before, in pieces", before: "OP|EN b k1 c=fe|ed,d=1200\r|\n", want: "UP r1\r\nMOVE\r\n"},
		{name: "line split", before: "OPEN c k1 c=fe", after: "ed,d=1200\r\n", want: "BUSY 500\r\n"},
		{name: "line end split", before: "OPEN d k1 c=feed,d=1200\r", after: "\n", want: "BUSY 500\r\n"},
		{name: "complete after", after: openLine("e"), want: "BUSY 500\r\n"},
		{name: "complete after, in pieces", after: "OPEN f k|1 c=feed,|d=1200\r\n", want: "BUSY 500\r\n"},
		{name: "half before", before: "OPEN g k1 c=fe", late: "ed,d=1200\r\n", want: "BUSY 500\r\n"},
		{name: "half after", after: "OPEN h k1 c=fe", late: "ed,d=1200\r\n", want: "BUSY 500\r\n"},
		{name: "nothing", late: openLine("i"), want: "BUSY 500\r\n"},
		{name: "PING before", before: "PING\r\n", late: openLine("j"), want: "PONG\r\nBUSY 500\r\n"},
		{name: "PING after", after: "PING\r\n", late: openLine("k"), want: "BUSY 500\r\nBUSY 500\r\n"},
		{name: "no line", after: "HELLO\r\n", late: openLine("l"), want: "ERR\r\n"},
	}
	write := func(to *client, text string) {
		for _, piece := range strings.Split(text, "|") {
			fmt.Fprint(to, piece)
		}
	}
	for _, c := range cases {
		c.client = dialClient(t, addr, "")
		write(c.client, c.before)
		if c.before == "PING\r\n" { // the node must read it before SIGTERM
			_, _ = c.reader.Peek(len("PONG\r\n"))
		}
	}
	for start := time.Now(); firstLines.Load() < 2 && time.Since(start) < testTimeout; {
		time.Sleep(time.Millisecond)
	}
	p.signal(syscall.SIGTERM)
	p.untilAnswer("PING", "400")
	for _, c := range cases {
		write(c.client, c.after)
	}
	for _, c := range cases {
		if c.late != "" {
			answered, _ := c.reader.Peek(len(c.want))
			if string(answered) != c.want {
				t.Errorf("%s: %q, want %q", c.name, answered, c.want)
			}
			fmt.Fprint(c, c.late)
		}
		if s := c.readToEnd(); s != c.want {
			t.Errorf("%s: %q, want %q", c.name, s, c.want)
		}
		c.Close()
	}
	p.expectExit()
	if n := firstLines.Load(); n != 2 {
		t.Errorf("%d first lines were forwarded, want 2", n)
	}
}

// A node that receives SIGTERM during its start completes the start, rejects clients and exits without an
// error. Further SIGTERMs do not change that.
func TestTerminatedInItsStart(t *testing.T) {
	var firstLines atomic.Int32
	upstreamAddr := testsocket.Serve(t, serveUpstream(&firstLines))
	addr, path := freeAddr(t), filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, addr, startDiscovery(t, upstreamAddr), upstreamAddr, 1024)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	replaceWithFIFO(t, path)
	p := startProcess(t, path, t.TempDir(), nil)
	writer, err := os.OpenFile(path, os.O_WRONLY, 0) // returns when the node reads it
	if err != nil {
		t.Fatal(err)
	}
	p.signal(syscall.SIGTERM)
	if _, err := writer.Write(text); err != nil {
		t.Fatal(err)
	}
	writer.Close()
	awaitListening(t, addr)
	if s := dialClient(t, addr, openLine("a")).readToEnd(); s != "BUSY 500\r\n" {
		t.Errorf("a client of the terminated node: %q", s)
	}
	for ended := false; !ended; {
		select {
		case err := <-p.exited:
			if ended = true; err != nil {
				t.Errorf("the process exited with %v\n%s", err, p.log)
			}
		default:
			_ = p.Process.Signal(syscall.SIGTERM)
		}
	}
	if firstLines.Load() > 0 {
		t.Error("a first line was forwarded")
	}
}

// A successor that is terminated while it waits for discovery exits at once, and the old process continues to
// serve.
func TestSuccessorTerminatedBeforeItIsReady(t *testing.T) {
	node := newSharedSocket(t, 256)
	old := node.startServing()
	session := openSession(t, node.addr, "a")
	discoveryCalled := make(chan struct{}, 16)
	silent := testsocket.Serve(t, func(conn net.Conn) {
		discoveryCalled <- struct{}{}
		_, _ = io.Copy(io.Discard, conn)
	})
	node.path = filepath.Join(t.TempDir(), "silent.json")
	writeConfig(t, node.path, node.addr, silent, node.upstreamAddr, 256)
	next := node.start()
	<-discoveryCalled
	if s := next.adminCall("PING"); !strings.HasPrefix(s, "400") {
		t.Fatalf("the successor is ready before its first list: %q", s)
	}
	terminatedAt := time.Now()
	next.signal(syscall.SIGTERM)
	next.expectExit()
	if took := time.Since(terminatedAt); took > 1500*time.Millisecond {
		t.Errorf("the successor took %v to exit, want at most 1.5 s", took)
	}
	session.expectRelayed("after the successor's exit")
	if s := dialClient(t, node.addr, openLine("b")).readLine(); s != "UP r1" {
		t.Errorf("a new client: %q", s)
	}
	old.expectMoveAndExit(session)
}

// SIGTERM during a lame duck drain makes the drain final: the remaining sessions are migrated, and REJOIN
// has no effect any more.
func TestTerminatedWhileDraining(t *testing.T) {
	p, addr, _, _ := startServingNode(t, 1024)
	session := openSession(t, addr, "a")
	silent := dialClient(t, addr, "")
	p.adminCall("LAMEDUCK")
	start := time.Now()
	p.signal(syscall.SIGTERM)
	for isEnding := false; !isEnding; {
		p.adminCall("REJOIN")
		isEnding = strings.HasPrefix(p.adminCall("PING"), "400")
	}
	if s := session.readToEnd(); s != "MOVE\r\n" {
		t.Errorf("session: %q", s)
	}
	session.Close()
	if s := silent.readToEnd(); s != "BUSY 500\r\n" {
		t.Errorf("a silent client: %q", s)
	}
	silent.Close()
	p.expectExit()
	if took, most := time.Since(start), 1700*time.Millisecond; took > most {
		t.Errorf("the drain took %v, want at most %v", took, most)
	}
}
