package main

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// All processes that hold the listening socket share its O_NONBLOCK flag, and any of them may clear it. This
// process must still accept new clients and drain in time.
func TestAcceptsWithBlockingListener(t *testing.T) {
	node := newSharedSocket(t, 256)
	p := node.startServing()
	raw, err := node.file.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var flagErr error
	if err := raw.Control(func(fd uintptr) { flagErr = syscall.SetNonblock(int(fd), false) }); err != nil {
		t.Fatal(err)
	}
	if flagErr != nil {
		t.Fatal(flagErr)
	}
	var session *client
	for _, id := range []string{"a", "b"} { // without the flag, the accept after each would block
		session = openSession(t, node.addr, id)
	}
	p.expectMoveAndExit(session)
}

// The accept queue has a limit and its length is reported. A connection request that finds the queue full
// is dropped; in a longer queue, clients would wait for seconds.
func TestBacklogIsLimitedAndShown(t *testing.T) {
	const sockets, want = 300, defaultAcceptBacklog + 1 // the kernel accepts one more than the backlog
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if err := limitBacklog(listener, sockets); err != nil {
		t.Fatal(err)
	}
	var failed error
	connected := 0
	for connected < 2*want && failed == nil {
		var conn net.Conn
		if conn, failed = net.DialTimeout("tcp", listener.Addr().String(), 200*time.Millisecond); failed == nil {
			defer conn.Close()
			connected++
		}
	}
	if waiting := acceptQueue(listener); waiting != want || connected != waiting {
		t.Errorf("%d connected, %d in the queue, want %d; last error %v", connected, waiting, want, failed)
	}
}

// The metrics have the length of the accept queue and how long the last client waited in it.
func TestMetricsShowTheAcceptQueue(t *testing.T) {
	p, addr, _, _ := startServingNode(t, 1024)
	openSession(t, addr, "a")
	p.untilMetrics("balancer.accept_queue:0|g\r\nbalancer.accept_wait_ms:")
}
