package main

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// A process that may hold 512 descriptors serves all clients beside 1,500 endpoints, however many of
// them it has probed. Kept probe connections once took all descriptors within seconds, and then no
// client was accepted any more.
func TestServesBesideMoreEndpointsThanDescriptors(t *testing.T) {
	const endpoints, sockets, clients, atOnce = 1500, 512, 1200, 8
	p, addr, _ := startLimitedNode(t, endpoints, sockets)

	ids := make(chan int)
	var served atomic.Int32
	var wg sync.WaitGroup
	for range atOnce {
		wg.Go(func() {
			for id := range ids {
				if clientIsServed(addr, id) {
					served.Add(1)
				}
			}
		})
	}
	for id := range clients {
		ids <- id
	}
	close(ids)
	wg.Wait()
	if served.Load() != clients {
		t.Errorf("%d of %d clients served", served.Load(), clients)
	}
	p.signal(syscall.SIGTERM)
	p.expectExit()
}

// clientIsServed has one client of a group of its own come and go, and reports whether it was served.
func clientIsServed(addr string, id int) bool {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintf(conn, "OPEN m%d k%d c=feed,d=1200,g=%x\r\n", id, id, id)
	answer := make([]byte, len("UP r1"))
	n, _ := conn.Read(answer)
	return string(answer[:n]) == "UP r1"
}
