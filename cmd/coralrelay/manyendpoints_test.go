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

// A process with 512 descriptors and 1,500 endpoints serves all clients, however many endpoints it has
// probed. Without a limit, idle probe connections take all descriptors within seconds, and no client is
// accepted any more.
func TestServesWithMoreEndpointsThanDescriptors(t *testing.T) {
	const endpoints, sockets, clients, concurrent = 1500, 512, 1200, 8
	p, addr, _ := startLimitedNode(t, endpoints, sockets)

	ids := make(chan int)
	var served atomic.Int32
	var wg sync.WaitGroup
	for range concurrent {
		wg.Go(func() {
			for id := range ids {
				if isClientServed(addr, id) {
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

// isClientServed opens and closes one session in a group of its own, and reports whether it was served.
func isClientServed(addr string, id int) bool {
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
