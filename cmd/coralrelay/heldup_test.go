package main

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"
)

// Clients that connect, send their first line and leave while the process is held up have left when it
// goes on: no first line of theirs is forwarded. All come at once, so that some are served before their
// end was read.
func TestForwardsNothingForClientsThatLeftWhileHeldUp(t *testing.T) {
	const clients, rounds = 40, 5
	p, addr, _, got := startServingNode(t, 1024)
	for round := range rounds {
		before := got.Load()
		p.signal(syscall.SIGSTOP)
		for i := range clients {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprint(conn, openLine(fmt.Sprintf("h%d.%d", round, i)))
			conn.Close()
		}
		time.Sleep(120 * time.Millisecond) // what is tested: they left longer ago than 0.1 s
		p.signal(syscall.SIGCONT)
		openSession(t, addr, fmt.Sprint("after", round)).Close() // comes after all of them
		p.untilMetrics("balancer.open_requests:0|g\r\n")
		if forwarded := got.Load() - before - 1; forwarded != 0 {
			t.Errorf("round %d: %d first lines of clients that had left were forwarded", round, forwarded)
		}
	}
	p.signal(syscall.SIGTERM)
	p.expectExit()
}
