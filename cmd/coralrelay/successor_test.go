package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// startSteadyClients opens sessions one after another from four clients, until stop is called. Three of
// them wait before they send the first line. Each session must be accepted.
func startSteadyClients(t *testing.T, addr string) (stop func()) {
	var clients sync.WaitGroup
	stopped := make(chan struct{})
	for n := range 4 {
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stopped:
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
					t.Errorf("%s: answered %q, %v", id, s, err)
				}
				_ = c.Close()
			}
		})
	}
	return func() {
		close(stopped)
		clients.Wait()
	}
}

// A successor takes over while clients keep connecting. No client is rejected or left unread in the
// accept queue, a client that has sent nothing yet is still served, established sessions continue at the
// successor without interruption, and the old process exits in time.
func TestSuccessorTakesOver(t *testing.T) {
	node := newSharedSocket(t, 256)
	stale := filepath.Join(node.tmp, "coralrelay-"+strings.ReplaceAll(node.addr, ":", "-"))
	if err := os.WriteFile(stale, bytes.Repeat([]byte("stale"), 20), 0o600); err != nil {
		t.Fatal(err)
	}
	old := node.startServing()
	var sessions []*client
	for i := range 20 {
		sessions = append(sessions, openSession(t, node.addr, fmt.Sprint("a", i)))
	}
	next := node.startServing()
	stop := startSteadyClients(t, node.addr)
	start := time.Now()
	for i, p := range []*process{old, next, old, next, old, old, next, old} { // SIGHUPs around SIGTERM
		if i == 3 {
			old.signal(syscall.SIGTERM)
		}
		p.signal(syscall.SIGHUP)
	}
	old.untilAnswer("PING", "400")
	writeTo := func(from, to int, text string) { // some sessions are handed over in the middle of a line
		for _, c := range sessions[from:to] {
			fmt.Fprint(c, text)
		}
	}
	writeTo(0, 5, "are you")
	old.expectExit()
	if took, most := time.Since(start), 1900*time.Millisecond; took > most {
		t.Errorf("the takeover took %v, want at most %v", took, most)
	}
	stop()
	writeTo(0, 5, " there\r\n")
	writeTo(5, 20, "are you there\r\n")
	for i, c := range sessions {
		if s := c.readLine(); s != "yes" {
			t.Errorf("session %d: %q", i, s)
		}
	}
	if s := dialClient(t, node.addr, openLine("a0")).readLine(); s != "ERR" {
		t.Errorf("a request with the id of a session that was handed over: %q", s)
	}
	next.untilMetrics("balancer.open_requests:20|g\r\n")
	if s := dialClient(t, node.addr, openLine("c")).readLine(); s != "UP r1" {
		t.Errorf("a client at the successor: %q", s)
	}
	if s := next.adminCall("PING"); s != "200 OK\r\n" {
		t.Errorf("PING to the successor: %q", s)
	}
}

// nonListenerFiles returns a regular file and a connection, which a platform could pass by mistake.
func nonListenerFiles(t *testing.T, connectTo string) map[string]*os.File {
	t.Helper()
	plain, err := os.Create(filepath.Join(t.TempDir(), "plain"))
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", connectTo)
	if err != nil {
		t.Fatal(err)
	}
	connected, err := conn.(*net.TCPConn).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = plain.Close()
		_ = conn.Close()
		_ = connected.Close()
	})
	return map[string]*os.File{"a-file": plain, "a-connection": connected}
}

// A successor that fails to start does not disturb the service: the old process continues to serve, also
// if the successor was killed, and hands over to the next successor.
func TestFailedSuccessorDoesNotDisturbService(t *testing.T) {
	node := newSharedSocket(t, 256)
	old := node.startServing()
	session := openSession(t, node.addr, "a")
	expectServing := func(when string) {
		t.Helper()
		session.expectRelayed(when)
		if s := dialClient(t, node.addr, openLine(when)).readLine(); s != "UP r1" {
			t.Errorf("%s: a new client: %q", when, s)
		}
	}

	for what, file := range nonListenerFiles(t, node.discovery) {
		p := startProcess(t, node.path, node.tmp, file)
		if err := p.awaitExit(testTimeout); err == nil || !strings.Contains(p.log.String(), "BALANCER_INHERITED_FD") {
			t.Errorf("%s in place of the listener: %v, %s", what, err, p.log)
		}
		expectServing(what)
	}

	killed := node.start()
	time.Sleep(20 * time.Millisecond) // kills the process at some point of its start
	_ = killed.Process.Kill()
	_ = killed.awaitExit(testTimeout)
	expectServing("killed")

	node.startServing()
	expectServing("beside")
	left, err := filepath.Glob(filepath.Join(node.tmp, "*.[01]"))
	if err != nil || len(left) != 2 {
		t.Fatalf("sockets in the directory: %v, %v", left, err)
	}
	for _, path := range left { // without the sockets, sessions can't be handed over, only migrated
		if err := os.Remove(path); err != nil {
			t.Fatal(err)
		}
	}
	old.expectMoveAndExit(session)
}

// If the old process holds state that it can't hand over, the successor's start fails with the reason,
// and the old process continues to serve.
func TestSuccessorRefusedWhileStateIsExclusive(t *testing.T) {
	for key, operatorFile := range map[string]string{
		"resume.enabled": fmt.Sprintf(`{"resume":{"enabled":true,"keys":%q,"ledger":{"dir":%q}}}`,
			resumptionOperatorFile(t).Resume.KeyDir, t.TempDir()),
		"udp.listen": fmt.Sprintf(`{"udp":{"listen":%q}}`, freeAddr(t)),
	} {
		t.Run(key, func(t *testing.T) {
			node := newSharedSocket(t, 1024)
			operatorPath := filepath.Join(t.TempDir(), "operator.json")
			if err := os.WriteFile(operatorPath, []byte(operatorFile), 0o600); err != nil {
				t.Fatal(err)
			}
			node.startServing("--config", operatorPath)
			next := node.start("--config", operatorPath)
			if err := next.awaitExit(testTimeout); err == nil || !strings.Contains(next.log.String(), key) {
				t.Errorf("%v: %s", err, next.log)
			}
			if s := dialClient(t, node.addr, openLine("a")).readLine(); s != "UP r1" {
				t.Errorf("a client at the old process: %q", s)
			}
		})
	}
}
