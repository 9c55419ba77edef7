package main

import (
	"io"
	"net"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"coralrelay/internal/testsocket"
)

// A process is terminated while its sibling does not serve, because the sibling is not ready yet or
// drains too. The process must answer clients as it does without a sibling, because the sibling would
// not.
func TestAnswersAloneWhileSiblingDoesNotServe(t *testing.T) {
	silent := testsocket.Serve(t, func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
	for name, drainsToo := range map[string]bool{"not ready": false, "drains too": true} {
		t.Run(name, func(t *testing.T) {
			node := newSharedSocket(t, 256)
			old := node.startServing()
			session := openSession(t, node.addr, "a")
			if !drainsToo { // the sibling waits for a discovery that does not answer
				node.path = filepath.Join(t.TempDir(), "other.json")
				writeConfig(t, node.path, node.addr, silent, node.upstreamAddr, 256)
			}
			next := node.start()
			if drainsToo {
				next.untilAnswer("PING", "200")
				next.signal(syscall.SIGTERM)
			}
			next.untilAnswer("PING", "400")
			next.signal(syscall.SIGSTOP) // keeps the sibling in this state
			old.signal(syscall.SIGTERM)
			old.untilAnswer("PING", "400")
			if s := dialClient(t, node.addr, openLine("b")).readLine(); !strings.HasPrefix(s, "BUSY") {
				t.Errorf("a new client: %q", s)
			}
			if s := session.readLine(); s != "MOVE" {
				t.Errorf("the session: %q", s)
			}
			old.expectExit()
			next.signal(syscall.SIGCONT)
			if drainsToo {
				next.expectExit()
				return
			}
			next.untilAnswer("PING", "200")
			if s := dialClient(t, node.addr, openLine("c")).readLine(); s != "UP r1" {
				t.Errorf("at the successor: %q", s)
			}
		})
	}
}
