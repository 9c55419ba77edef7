package main

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// The listener's flag not to block is shared by all processes that hold it, and any of them may
// clear it: this process still accepts new clients, and drains in its time.
func TestListenerMadeBlocking(t *testing.T) {
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
	for _, id := range []string{"a", "b"} { // behind each the next accept blocks
		session = openSession(t, node.addr, id)
	}
	p.expectMoveAndExit(session)
}

// The queue of connections that wait to be accepted is limited, and its length is shown: a connection that finds it full
// is not taken, where it once waited for seconds.
func TestBacklogIsLimitedAndShown(t *testing.T) {
	const sockets, want = 300, defaultAcceptBacklog + 1 // the system takes one more
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
		t.Errorf("%d connected and %d wait, want %d; then %v", connected, waiting, want, failed)
	}
}

// A node shows the length of that queue, and how long the last client had waited.
func TestMetricsShowTheAcceptQueue(t *testing.T) {
	p, addr, _, _ := startServingNode(t, 1024)
	openSession(t, addr, "a")
	p.untilMetrics("balancer.accept_queue:0|g\r\nbalancer.accept_wait_ms:")
}
