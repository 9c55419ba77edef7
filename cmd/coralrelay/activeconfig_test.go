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

// expectOperations requires the metrics of three classes and of the relay: what was on the sockets.
func expectOperations(p *process, relayed int32) {
	p.t.Helper()
	want := ""
	for _, c := range []struct {
		name                          string
		fulfilled, throttled, faulted int
	}{{"feed", 2, 0, 1}, {"feed_new", 1, 0, 0}, {"other", 1, 0, 0}} {
		prefix := "balancer.operations." + c.name
		want += fmt.Sprintf("%s.fulfilled:%d|c\r\n", prefix, c.fulfilled)
		want += fmt.Sprintf("%s.throttled:%d|c\r\n", prefix, c.throttled)
		want += fmt.Sprintf("%s.faulted:%d|c\r\n", prefix, c.faulted)
	}
	p.untilMetrics(want + fmt.Sprintf("balancer.relayed:%d|c\r\n", relayed))
}

// New settings come into force at a hang-up, all of a file or none: classes appear and vanish,
// sessions keep their own, and the metrics show what was on the sockets.
func TestHangUpAppliesSettings(t *testing.T) {
	var got atomic.Int32
	calls := make(chan string, 8)
	discovery := func(name string) string {
		return testsocket.Serve(t, func(conn net.Conn) { calls <- name; _, _ = io.Copy(io.Discard, conn) })
	}
	upstreamAddr := testsocket.Serve(t, serveUpstream(&got))
	addr, path := freeAddr(t), filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, addr, discovery("first"), upstreamAddr, 1024)
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	p := startProcess(t, path, t.TempDir(), nil)
	p.untilAnswer("PING", "200")
	if name := <-calls; name != "first" {
		t.Fatal(name)
	}
	hangUp := func(text string, accepted, invalid int) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		p.signal(syscall.SIGHUP)
		p.untilMetrics(fmt.Sprintf("balancer.cfg_accepted:%d|c\r\nbalancer.cfg_invalid:%d|c\r\n", accepted, invalid))
	}
	openClass := func(id, class string) string {
		return dialClient(t, addr, fmt.Sprintf("OPEN %s k1 c=%s,d=1200\r\n", id, class)).readLine()
	}
	session := openSession(t, addr, "a")
	if s := openClass("b", "feed_new"); s != "ERR" {
		t.Errorf("a class to come: %q", s)
	}

	class := string(raw[strings.Index(string(raw), `{"name":"feed"`):strings.Index(string(raw), `],`+"\n")])
	both := strings.Replace(string(raw), class, class+","+strings.Replace(class, "feed", "feed_new", 1), 1)
	hangUp(both, 1, 0)
	if s, u := openClass("c", "feed_new"), openClass("d", "feed"); s != "UP r1" || u != "UP r1" {
		t.Errorf("a class that has appeared: %q, one that was there: %q", s, u)
	}

	elsewhere := discovery("of a bad file")
	bad := strings.Replace(both, "1.2", "-5", 1)
	bad = strings.Replace(bad, `"discovery":"`, `"discovery":"`+elsewhere+`","was":"`, 1)
	for i, text := range []string{bad, "", bad[:len(bad)/2], strings.Replace(both, `"mostTries":6,`, "", 1)} {
		hangUp(text, 1, i+1)
	}

	hangUp(strings.ReplaceAll(string(raw), `"feed"`, `"other"`), 2, 4)
	if s, u := openClass("e", "feed"), openClass("f", "other"); s != "ERR" || u != "UP r1" {
		t.Errorf("a class that has vanished: %q, the one that stays: %q", s, u)
	}
	session.expectRelayed("the session")
	expectOperations(p, got.Load())
	select {
	case name := <-calls:
		t.Errorf("the discovery %s was called", name)
	case <-time.After(50 * time.Millisecond):
	}
	p.expectMoveAndExit(session)
	p.expectLogged("settings.classes[0].deadline", "settings.limits.mostTries", "BALANCER_CONFIG")
}

// expectDiscovery waits for the next call of a discovery, or for the end of one.
func expectDiscovery(t *testing.T, calls <-chan net.Conn, hasEnded bool, what string) {
	t.Helper()
	select {
	case conn := <-calls:
		if hasEnded != (conn == nil) {
			t.Fatal("not so: " + what)
		}
	case <-time.After(4 * time.Second):
		t.Fatal("not within 4 s: " + what)
	}
}

// At a hang-up the node follows the discovery that the file names, although its environment still
// has the first; a file that can't be used changes nothing; hang-ups while it drains do no harm.
func TestHangUpReloadsDiscovery(t *testing.T) {
	discovery := func() (string, <-chan net.Conn) {
		calls := make(chan net.Conn, 8)
		return testsocket.Serve(t, func(conn net.Conn) {
			calls <- conn
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\n")
			_, _ = io.Copy(io.Discard, conn)
			calls <- nil
		}), calls
	}
	var got atomic.Int32
	upstreamAddr := testsocket.Serve(t, serveUpstream(&got))
	addr, path := freeAddr(t), filepath.Join(t.TempDir(), "config.json")
	first, firstCalls := discovery()
	second, secondCalls := discovery()
	writeConfig(t, path, addr, first, upstreamAddr, 1024)
	t.Setenv("BALANCER_DISCOVERY", first)
	p := startProcess(t, path, t.TempDir(), nil)
	awaitListening(t, addr)
	session := openSession(t, addr, "a")
	expectDiscovery(t, firstCalls, false, "the first discovery is watched")

	writeConfig(t, path, addr, second, upstreamAddr, 1024)
	p.signal(syscall.SIGHUP)
	expectDiscovery(t, secondCalls, false, "the second discovery is watched")
	expectDiscovery(t, firstCalls, true, "the first watch is dropped")

	if err := os.WriteFile(path, []byte(`{"discovery":7}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		p.signal(syscall.SIGHUP)
	}
	session.expectRelayed("after a bad file")
	if s := dialClient(t, addr, openLine("b")).readLine(); s != "UP r1" {
		t.Errorf("a client after a bad file: %q", s)
	}
	p.signal(syscall.SIGTERM)
	if s := session.readLine(); s != "MOVE" {
		t.Errorf("at the restart %q", s)
	}
	p.signal(syscall.SIGHUP)
	p.expectExit()
	expectDiscovery(t, secondCalls, true, "the second watch ends with the node, and none came between")
}
