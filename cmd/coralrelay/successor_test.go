package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// A successor takes over while clients keep coming: nobody is turned away or left
// unread at the door, who said nothing yet is still served, what stands goes on at the
// successor as if nothing had been, and the old process ends in its time.
func TestSuccessorTakesOver(t *testing.T) {
	var got atomic.Int32
	upstreamAddr := listen(t, serveUpstream(&got))
	discovery := startDiscovery(t, upstreamAddr)
	addr, file := listeningSocket(t)
	dir, tmp := t.TempDir(), t.TempDir()
	if err := os.WriteFile(filepath.Join(tmp, "coralrelay-"+strings.ReplaceAll(addr, ":", "-")), bytes.Repeat([]byte("stale"), 20), 0o600); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "config.json")
	writeConfig(t, path, addr, discovery, upstreamAddr, 256)
	old := startProcess(t, path, tmp, file)
	old.untilAnswer("PING", "200")
	var sessions []*client
	for i := range 20 {
		c := dialClient(t, addr, openLine(fmt.Sprint("a", i)))
		if s := c.readLine(); s != "UP r1" {
			t.Fatalf("connection %d: %q", i, s)
		}
		sessions = append(sessions, c)
	}

	next := startProcess(t, path, tmp, file)
	next.untilAnswer("PING", "200")
	var served sync.WaitGroup
	stop := make(chan struct{})
	for n := range 4 { // clients come all the time, some of them in no hurry
		served.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("b%d.%d", n, i)
				c := dialClient(t, addr, "")
				if n > 0 {
					time.Sleep(time.Duration(n) * 20 * time.Millisecond)
				}
				fmt.Fprint(c, openLine(id))
				if s, err := c.reader.ReadString('\n'); s != "UP r1\r\n" {
					t.Errorf("%s was answered %q, %v", id, s, err)
				}
				c.Close()
			}
		})
	}
	begun := time.Now()
	for i, p := range []*process{old, next, old, next, old, old, next, old} { // a storm beside it
		if i == 3 {
			old.signal(syscall.SIGTERM)
		}
		p.signal(syscall.SIGHUP)
	}
	old.untilAnswer("PING", "400")
	writeTo := func(from, to int, text string) { // some are in the middle of a line
		for _, c := range sessions[from:to] {
			fmt.Fprint(c, text)
		}
	}
	writeTo(0, 5, "are you")
	if err := old.awaitExit(testTimeout); err != nil {
		t.Errorf("the old one ended with %v\n%s", err, old.log)
	}
	if took, most := time.Since(begun), 1900*time.Millisecond; took > most {
		t.Errorf("it took %v, want at most %v", took, most)
	}
	close(stop)
	served.Wait()
	writeTo(0, 5, " there\r\n")
	writeTo(5, 20, "are you there\r\n")
	for i, c := range sessions {
		if s := c.readLine(); s != "yes" {
			t.Errorf("standing connection %d: %q", i, s)
		}
	}
	if s := dialClient(t, addr, openLine("a0")).readLine(); s != "ERR" {
		t.Errorf("the id of a connection that was handed over: %q", s)
	}
	next.untilMetrics("balancer.open_requests:20|g\r\n")
	if s := dialClient(t, addr, openLine("c")).readLine(); s != "UP r1" {
		t.Errorf("at the successor: %q", s)
	}
	if s := next.adminCall("PING"); s != "200 OK\r\n" {
		t.Errorf("the successor says %q", s)
	}
}

// A successor that can't be one harms nobody: the old process serves on, also if the
// other died without a word, and takes the next one.
func TestFailedSuccessorHarmsNobody(t *testing.T) {
	var got atomic.Int32
	upstreamAddr := listen(t, serveUpstream(&got))
	discovery := startDiscovery(t, upstreamAddr)
	addr, file := listeningSocket(t)
	dir, tmp := t.TempDir(), t.TempDir()
	path := filepath.Join(dir, "config.json")
	writeConfig(t, path, addr, discovery, upstreamAddr, 256)
	old := startProcess(t, path, tmp, file)
	old.untilAnswer("PING", "200")
	session := dialClient(t, addr, openLine("a"))
	if s := session.readLine(); s != "UP r1" {
		t.Fatal(s)
	}
	expectServing := func(when string) {
		t.Helper()
		fmt.Fprint(session, "are you there\r\n")
		if s := session.readLine(); s != "yes" {
			t.Errorf("%s: relayed %q", when, s)
		}
		if s := dialClient(t, addr, openLine(when)).readLine(); s != "UP r1" {
			t.Errorf("%s: a new caller: %q", when, s)
		}
	}

	plain, err := os.Create(filepath.Join(dir, "plain"))
	if err != nil {
		t.Fatal(err)
	}
	defer plain.Close()
	conn, err := net.Dial("tcp", discovery)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	connected, err := conn.(*net.TCPConn).File()
	if err != nil {
		t.Fatal(err)
	}
	defer connected.Close()
	for what, file := range map[string]*os.File{"a-file": plain, "a-connection": connected} {
		p := startProcess(t, path, tmp, file)
		if err := p.awaitExit(testTimeout); err == nil || !strings.Contains(p.log.String(), "BALANCER_INHERITED_FD") {
			t.Errorf("%s in the listener's place: %v, %s", what, err, p.log)
		}
		expectServing(what)
	}

	killed := startProcess(t, path, tmp, file)
	time.Sleep(20 * time.Millisecond) // somewhere on its way
	_ = killed.Process.Kill()
	_ = killed.awaitExit(testTimeout)
	expectServing("killed")

	next := startProcess(t, path, tmp, file)
	next.untilAnswer("PING", "200")
	expectServing("beside")
	left, err := filepath.Glob(filepath.Join(tmp, "*.[01]"))
	if err != nil || len(left) != 2 {
		t.Fatalf("sockets in the folder: %v, %v", left, err)
	}
	for _, path := range left { // somebody has tidied up: what stands can only be moved
		if err := os.Remove(path); err != nil {
			t.Fatal(err)
		}
	}
	old.expectMoveAndExit(session)
}

// What the old process holds and can't hand over ends a successor's start with the reason,
// and the old one has lost nothing.
func TestSuccessorRefusedWhileStateIsExclusive(t *testing.T) {
	for key, operatorFile := range map[string]string{
		"resume.enabled": fmt.Sprintf(`{"resume":{"enabled":true,"keys":%q,"ledger":{"dir":%q}}}`, resumptionEnabled(t).Resume.Keys, t.TempDir()),
		"udp.listen":     fmt.Sprintf(`{"udp":{"listen":%q}}`, freeAddr(t)),
	} {
		t.Run(key, func(t *testing.T) {
			var got atomic.Int32
			upstreamAddr := listen(t, serveUpstream(&got))
			addr, file := listeningSocket(t)
			dir, tmp := t.TempDir(), t.TempDir()
			path, operatorPath := filepath.Join(dir, "config.json"), filepath.Join(dir, "operator.json")
			writeConfig(t, path, addr, startDiscovery(t, upstreamAddr), upstreamAddr, 1024)
			if err := os.WriteFile(operatorPath, []byte(operatorFile), 0o600); err != nil {
				t.Fatal(err)
			}
			old := startProcess(t, path, tmp, file, "--config", operatorPath)
			old.untilAnswer("PING", "200")
			next := startProcess(t, path, tmp, file, "--config", operatorPath)
			if err := next.awaitExit(testTimeout); err == nil || !strings.Contains(next.log.String(), key) {
				t.Errorf("%v: %s", err, next.log)
			}
			if s := dialClient(t, addr, openLine("a")).readLine(); s != "UP r1" {
				t.Errorf("at the old one: %q", s)
			}
		})
	}
}
