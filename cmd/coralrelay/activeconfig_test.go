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

// expectOperationMetrics requires that the metrics of the three classes and of the relay match the requests
// that were sent.
func expectOperationMetrics(p *process, relayed int32) {
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

// SIGHUP applies the new settings of a valid file as a whole, and nothing of an invalid file. Classes are
// added and removed, sessions keep the class they were opened with, and the metrics match the requests that
// were sent.
func TestSIGHUPAppliesSettings(t *testing.T) {
	var firstLines atomic.Int32
	calls := make(chan string, 8)
	discovery := func(name string) string {
		return testsocket.Serve(t, func(conn net.Conn) { calls <- name; _, _ = io.Copy(io.Discard, conn) })
	}
	upstreamAddr := testsocket.Serve(t, serveUpstream(&firstLines))
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
	reload := func(text string, accepted, invalid int) {
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
		t.Errorf("a class that is not defined yet: %q", s)
	}

	class := string(raw[strings.Index(string(raw), `{"name":"feed"`):strings.Index(string(raw), `],`+"\n")])
	both := strings.Replace(string(raw), class, class+","+strings.Replace(class, "feed", "feed_new", 1), 1)
	reload(both, 1, 0)
	if s, u := openClass("c", "feed_new"), openClass("d", "feed"); s != "UP r1" || u != "UP r1" {
		t.Errorf("the added class: %q, the existing class: %q", s, u)
	}

	elsewhere := discovery("of an invalid file")
	bad := strings.Replace(both, `"deadline":1.2`, `"deadline":-5`, 1)
	bad = strings.Replace(bad, `"discovery":"`, `"discovery":"`+elsewhere+`","was":"`, 1)
	for i, text := range []string{bad, "", bad[:len(bad)/2], strings.Replace(both, `"mostTries":6,`, "", 1)} {
		reload(text, 1, i+1)
	}

	reload(strings.ReplaceAll(string(raw), `"feed"`, `"other"`), 2, 4)
	if s, u := openClass("e", "feed"), openClass("f", "other"); s != "ERR" || u != "UP r1" {
		t.Errorf("the removed class: %q, its replacement: %q", s, u)
	}
	session.expectRelayed("the session")
	expectOperationMetrics(p, firstLines.Load())
	select {
	case name := <-calls:
		t.Errorf("the discovery %s was called", name)
	case <-time.After(50 * time.Millisecond):
	}
	p.expectMoveAndExit(session)
	p.expectLogged("settings.classes[0].deadline", "settings.limits.mostTries", "BALANCER_CONFIG")
}

// expectDiscoveryEvent waits for the next event of a discovery, and requires that it is the end of a call if
// hasEnded is set, or else the start of one.
func expectDiscoveryEvent(t *testing.T, calls <-chan net.Conn, hasEnded bool, what string) {
	t.Helper()
	select {
	case conn := <-calls:
		if hasEnded != (conn == nil) {
			t.Fatal("unexpected event in place of: " + what)
		}
	case <-time.After(4 * time.Second):
		t.Fatal("no event within 4 s: " + what)
	}
}

// At SIGHUP the node switches to the discovery address in the file, although BALANCER_DISCOVERY still has the
// first one. An invalid file changes nothing, and SIGHUP during the drain has no effect on it.
func TestSIGHUPReloadsDiscovery(t *testing.T) {
	discovery := func() (string, <-chan net.Conn) {
		calls := make(chan net.Conn, 8)
		return testsocket.Serve(t, func(conn net.Conn) {
			calls <- conn
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\n")
			_, _ = io.Copy(io.Discard, conn)
			calls <- nil
		}), calls
	}
	var firstLines atomic.Int32
	upstreamAddr := testsocket.Serve(t, serveUpstream(&firstLines))
	addr, path := freeAddr(t), filepath.Join(t.TempDir(), "config.json")
	first, firstCalls := discovery()
	second, secondCalls := discovery()
	writeConfig(t, path, addr, first, upstreamAddr, 1024)
	t.Setenv("BALANCER_DISCOVERY", first)
	p := startProcess(t, path, t.TempDir(), nil)
	awaitListening(t, addr)
	session := openSession(t, addr, "a")
	expectDiscoveryEvent(t, firstCalls, false, "the first discovery is watched")

	writeConfig(t, path, addr, second, upstreamAddr, 1024)
	p.signal(syscall.SIGHUP)
	expectDiscoveryEvent(t, secondCalls, false, "the second discovery is watched")
	expectDiscoveryEvent(t, firstCalls, true, "the first watch is dropped")

	if err := os.WriteFile(path, []byte(`{"discovery":7}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		p.signal(syscall.SIGHUP)
	}
	session.expectRelayed("after an invalid file")
	if s := dialClient(t, addr, openLine("b")).readLine(); s != "UP r1" {
		t.Errorf("a client after an invalid file: %q", s)
	}
	p.signal(syscall.SIGTERM)
	if s := session.readLine(); s != "MOVE" {
		t.Errorf("the session at SIGTERM: %q", s)
	}
	p.signal(syscall.SIGHUP)
	p.expectExit()
	expectDiscoveryEvent(t, secondCalls, true, "the second watch ends with the node, and no call came before")
}
