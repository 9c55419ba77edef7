package main

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/config"
	"coralrelay/internal/discovery"
	"coralrelay/internal/hotrestart"
	"coralrelay/internal/proxy"
	"coralrelay/internal/testsocket"
	"coralrelay/internal/upstream"
)

// connReceiver receives the connections that are handed over.
type connReceiver chan [2]net.Conn

// Adopt implements hotrestart.Receiver.
func (r connReceiver) Adopt(_ proxy.EstablishedSession, downstreamConn, upstreamConn net.Conn) bool {
	r <- [2]net.Conn{downstreamConn, upstreamConn}
	return true
}

// Learn implements hotrestart.Receiver.
func (connReceiver) Learn(balance.LearnedState) {}

// expectNoDelay requires that TCP_NODELAY is set on the connection's socket.
func expectNoDelay(t *testing.T, what string, conn net.Conn) {
	t.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	on := 0
	_ = raw.Control(func(fd uintptr) {
		on, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
	})
	if err != nil || on == 0 {
		t.Errorf("%s: TCP_NODELAY is %d, %v", what, on, err)
	}
}

// acceptOne returns both ends of a connection that the clients' listener accepted.
func acceptOne(t *testing.T, cfg config.Config) (near, far net.Conn) {
	t.Helper()
	l, err := openClientListener(cfg)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	far, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if near, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	return near, far
}

// handOver hands both connections over and returns the received ones.
func handOver(t *testing.T, downstreamConn, upstreamConn net.Conn) [2]net.Conn {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var goroutines sync.WaitGroup
	defer goroutines.Wait()
	defer cancel()
	receiver, dir := make(connReceiver, 1), t.TempDir()
	if err := hotrestart.Listen(ctx, &goroutines, dir, "n0", receiver); err != nil {
		t.Fatal(err)
	}
	sender, err := hotrestart.Dial(dir, "n0")
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	if !sender.Take(proxy.EstablishedSession{}, downstreamConn, upstreamConn) {
		t.Fatal("the receiver did not adopt the session")
	}
	return <-receiver
}

// TCP_NODELAY is set on every socket, so that small writes are not delayed: on connections accepted at
// the node's own listener and at an inherited one, on connections handed over, and on those that the node
// dials.
func TestAllSocketsHaveNoDelay(t *testing.T) {
	near, far := acceptOne(t, config.Config{Listen: "127.0.0.1:0"})
	expectNoDelay(t, "accepted", near)
	_, file := listeningSocket(t)
	copied, err := syscall.Dup(int(file.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	inherited, _ := acceptOne(t, config.Config{InheritedFD: copied})
	expectNoDelay(t, "accepted at an inherited listener", inherited)

	for _, conn := range []net.Conn{near, far} { // the receiver must set the option again
		_ = conn.(*net.TCPConn).SetNoDelay(false)
	}
	for i, conn := range handOver(t, near, far) {
		expectNoDelay(t, []string{"downstream connection handed over", "upstream connection handed over"}[i], conn)
		_ = conn.Close()
	}

	addr := testsocket.Serve(t, func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
	for what, dial := range map[string]func(context.Context, string, time.Time) (net.Conn, error){
		"to an upstream": upstream.New(t.Context(), upstream.Limits{}).Dial,
		"to discovery":   discovery.New(addr, nil).Dial,
	} {
		conn, err := dial(t.Context(), addr, time.Now().Add(testTimeout))
		if err != nil {
			t.Fatal(err)
		}
		expectNoDelay(t, what, conn)
		_ = conn.Close()
	}
}
