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

// A new configuration that comes while no descriptor is left takes force once there is one: nobody hangs
// up a second time.
func TestReloadOutlastsAWantOfDescriptors(t *testing.T) {
	p, addr, path, _ := startServingNode(t, 1024)
	restore := p.limitDescriptorsTo(3) // each new descriptor is beyond it
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(strings.Replace(string(raw), `"feed"`, `"chat"`, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	p.signal(syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond) // of the want
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
