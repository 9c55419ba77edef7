package main

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"
)

// Clients connect, send their first line and disconnect while the process is stopped. When the process
// continues, it must forward none of these first lines. All clients connect at once, so that the process
// handles some of them before it has read the end of their connections.
func TestForwardsNothingForClientsThatLeftWhileHeldUp(t *testing.T) {
	const clients, rounds = 40, 5
	p, addr, _, firstLines := startServingNode(t, 1024)
	for round := range rounds {
		before := firstLines.Load()
		p.signal(syscall.SIGSTOP)
		for i := range clients {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprint(conn, openLine(fmt.Sprintf("h%d.%d", round, i)))
			conn.Close()
		}
		time.Sleep(120 * time.Millisecond) // the case under test: the clients left more than 0.1 s ago
		p.signal(syscall.SIGCONT)
		openSession(t, addr, fmt.Sprint("after", round)).Close() // is accepted after all of them
		p.untilMetrics("balancer.open_requests:0|g\r\n")
		if forwarded := firstLines.Load() - before - 1; forwarded != 0 {
			t.Errorf("round %d: %d first lines of clients that had left were forwarded", round, forwarded)
		}
	}
	p.signal(syscall.SIGTERM)
	p.expectExit()
}
