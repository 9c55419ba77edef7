package main

import (
	"io"
	"net"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
)

// A process is told to go while the one beside it takes no clients: it is not ready yet, or
// leaves too. Clients are not left to nobody: this one answers as it does alone.
func TestAnswersAloneWhileSiblingDoesNotServe(t *testing.T) {
	silent := listen(t, func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
	for name, leaves := range map[string]bool{"not ready": false, "leaves too": true} {
		t.Run(name, func(t *testing.T) {
			var got atomic.Int32
			upstreamAddr := listen(t, serveUpstream(&got))
			addr, file := listeningSocket(t)
			dir, tmp := t.TempDir(), t.TempDir()
			path, other := filepath.Join(dir, "config.json"), filepath.Join(dir, "other.json")
			writeConfig(t, path, addr, startDiscovery(t, upstreamAddr), upstreamAddr, 256)
			writeConfig(t, other, addr, silent, upstreamAddr, 256)
			old := startProcess(t, path, tmp, file)
			old.untilAnswer("PING", "200")
			session := dialClient(t, addr, openLine("a"))
			if s := session.readLine(); s != "UP r1" {
				t.Fatal(s)
			}
			if leaves {
				other = path
			}
			next := startProcess(t, other, tmp, file)
			if leaves {
				next.untilAnswer("PING", "200")
				next.signal(syscall.SIGTERM)
			}
			next.untilAnswer("PING", "400")
			next.signal(syscall.SIGSTOP) // where it is
			old.signal(syscall.SIGTERM)
			old.untilAnswer("PING", "400")
			if s := dialClient(t, addr, openLine("b")).readLine(); !strings.HasPrefix(s, "BUSY") {
				t.Errorf("who comes then: %q", s)
			}
			if s := session.readLine(); s != "MOVE" {
				t.Errorf("who stands: %q", s)
			}
			if err := old.awaitExit(testTimeout); err != nil {
				t.Errorf("it ended with %v\n%s", err, old.log)
			}
			next.signal(syscall.SIGCONT)
			if leaves {
				if err := next.awaitExit(testTimeout); err != nil {
					t.Errorf("the other ended with %v\n%s", err, next.log)
				}
				return
			}
			next.untilAnswer("PING", "200")
			if s := dialClient(t, addr, openLine("c")).readLine(); s != "UP r1" {
				t.Errorf("at the successor: %q", s)
			}
		})
	}
}
