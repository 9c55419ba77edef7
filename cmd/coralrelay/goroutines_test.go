package main

import (
	"bufio"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
)

// No goroutine of the callers' side or of a part that serve starts outlives its end,
// whatever callers and next hops were doing.
func TestNoGoroutineOutlivesServe(t *testing.T) {
	var got atomic.Int32
	unresponsive, received := make(chan struct{}), make(chan struct{}, 64)
	addr, terminate, done := startNode(t, listen(t, func(conn net.Conn) {
		select {
		case <-unresponsive:
			for lines := bufio.NewScanner(conn); lines.Scan(); { // takes all and answers nothing
				if strings.HasPrefix(lines.Text(), "OPEN") {
					received <- struct{}{}
				}
			}
		default:
			serveUpstream(&got)(conn)
		}
	}), 1024)
	session := dialClient(t, addr, openLine("a"))
	if s := session.readLine(); s != "UP r1" {
		t.Fatal(s)
	}
	close(unresponsive)
	clients := []*client{session, dialClient(t, addr, ""), dialClient(t, addr, "OPEN b k1 c=fe"), dialClient(t, addr, "OPEN c k1 c=feed,d=40000,at=s1\r\n")}
	<-received
	dialClient(t, addr, "HELLO\r\n") // is read out, and stays
	terminate()
	for i, want := range []string{"MOVE\r\n", "BUSY 500\r\n", "BUSY 500\r\n", "ERR\r\n"} {
		if s := clients[i].readToEnd(); s != want {
			t.Errorf("party %d: %q, want %q", i, s, want)
		}
		clients[i].Close()
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	all := make([]byte, 1<<20)
	all = all[:runtime.Stack(all, true)]
	for _, stack := range strings.Split(string(all), "\n\n")[1:] {
		_, creator, _ := strings.Cut(stack, "created by coralrelay/")
		for _, part := range []string{"internal/downstream.", "internal/proxy.", "internal/dispatch.", "internal/discovery.",
			"internal/admin.", "cmd/coralrelay.serve"} {
			if strings.HasPrefix(creator, part) {
				t.Errorf("still there:\n%s", stack)
			}
		}
	}
}
