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
func TestNobodySucceeds(t *testing.T) {
	silent := listen(t, func(conn net.Conn) { io.Copy(io.Discard, conn) })
	for name, leaves := range map[string]bool{"not ready": false, "leaves too": true} {
		t.Run(name, func(t *testing.T) {
			var got atomic.Int32
			hop := listen(t, nextHop(&got))
			addr, file := held(t)
			dir, tmp := t.TempDir(), t.TempDir()
			path, other := filepath.Join(dir, "config.json"), filepath.Join(dir, "other.json")
			configure(t, path, addr, names(t, hop), hop, 256)
			configure(t, other, addr, silent, hop, 256)
			old := startProcess(t, path, tmp, file)
			old.until("PING", "200")
			c := call(t, addr, open("a"))
			if s := c.line(); s != "UP r1" {
				t.Fatal(s)
			}
			if leaves {
				other = path
			}
			next := startProcess(t, other, tmp, file)
			if leaves {
				next.until("PING", "200")
				next.signal(syscall.SIGTERM)
			}
			next.until("PING", "400")
			next.signal(syscall.SIGSTOP) // where it is
			old.signal(syscall.SIGTERM)
			old.until("PING", "400")
			if s := call(t, addr, open("b")).line(); !strings.HasPrefix(s, "BUSY") {
				t.Errorf("who comes then: %q", s)
			}
			if s := c.line(); s != "MOVE" {
				t.Errorf("who stands: %q", s)
			}
			if err := old.ends(patience); err != nil {
				t.Errorf("it ended with %v\n%s", err, old.log)
			}
			next.signal(syscall.SIGCONT)
			if leaves {
				if err := next.ends(patience); err != nil {
					t.Errorf("the other ended with %v\n%s", err, next.log)
				}
				return
			}
			next.until("PING", "200")
			if s := call(t, addr, open("c")).line(); s != "UP r1" {
				t.Errorf("at the successor: %q", s)
			}
		})
	}
}
