package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"coralrelay/internal/testsocket"
)

// A node whose list is pushed starts a watch when it starts, and a new one whenever a watch has ended,
// also after a reload of the settings.
func TestWatchesPushedList(t *testing.T) {
	calls, end := make(chan string, 8), make(chan bool)
	discovery := testsocket.Serve(t, func(conn net.Conn) {
		first := make([]byte, 256)
		n, _ := conn.Read(first)
		calls <- string(first[:n])
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\n{\"generation\":5,\"reset\":true,\"instances\":[]}\n")
		<-end
	})
	defer close(end)
	addr, path := freeAddr(t), filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, addr, discovery, "", 1024)
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	text := strings.NewReplacer("on_request", "pushed", `"nInstances":1`, `"nInstances":300`).Replace(string(raw))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	expectWatch := func(from string) {
		t.Helper()
		select {
		case call := <-calls:
			if !strings.Contains(call, "watch=1&from="+from+" ") {
				t.Fatalf("requested %q", call)
			}
		case <-time.After(testTimeout):
			t.Fatal("discovery got no request")
		}
	}
	p := startProcess(t, path, t.TempDir(), nil)
	expectWatch("0")
	end <- true
	expectWatch("5")
	p.signal(syscall.SIGHUP)
	p.untilMetrics("balancer.cfg_accepted:1|c")
	end <- true
	expectWatch("5")
}
