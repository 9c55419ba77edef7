package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A reload that SIGHUP requests while no descriptor is free succeeds as soon as one is, without a second
// SIGHUP.
func TestReloadRetriesUntilDescriptorIsFree(t *testing.T) {
	p, addr, path, _ := startServingNode(t, 1024)
	restore := p.limitDescriptorsTo(3) // the process can open no further descriptor
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(strings.Replace(string(raw), `"feed"`, `"chat"`, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	p.signal(syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond) // no descriptor is free
	restore()
	p.untilMetrics("balancer.cfg_accepted:1|c\r\nbalancer.cfg_invalid:0|c\r\n")
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprint(conn, "OPEN a k1 c=chat,d=1200\r\n")
	answer := make([]byte, len("UP r1"))
	if n, err := conn.Read(answer); string(answer[:n]) != "UP r1" {
		t.Errorf("a client of the new class: %q, %v", answer[:n], err)
	}
	p.signal(syscall.SIGTERM)
	p.expectExit()
}
