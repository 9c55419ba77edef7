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
	"coralrelay/internal/upstream"
)

// taker keeps what is handed over.
type connReceiver chan [2]net.Conn

func (r connReceiver) Adopt(_ proxy.EstablishedSession, downstreamConn, upstreamConn net.Conn) bool {
	r <- [2]net.Conn{downstreamConn, upstreamConn}
	return true
}

// Learn implements hotrestart.Receiver.
func (connReceiver) Learn(balance.LearnedState) {
}

// No socket holds small writes back: not one that was accepted, at a listener of the node's
// own or an inherited one, not one that was handed over, nor one that the node dials.
func TestAllSocketsHaveNoDelay(t *testing.T) {
	expectNoDelay := func(what string, conn net.Conn) {
		t.Helper()
		raw, err := conn.(syscall.Conn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		on := 0
		_ = raw.Control(func(fd uintptr) { on, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY) })
		if err != nil || on == 0 {
			t.Errorf("%s: TCP_NODELAY is %d, %v", what, on, err)
		}
	}
	accepted := func(what, addr string, inherited int) [2]net.Conn {
		t.Helper()
		l, err := openClientListener(config.Config{Listen: addr, InheritedFD: inherited})
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		far, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		near, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { near.Close(); far.Close() })
		expectNoDelay(what, near)
		return [2]net.Conn{near, far}
	}
	ends := accepted("accepted", "127.0.0.1:0", 0)
	_, file := listeningSocket(t)
	copied, err := syscall.Dup(int(file.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	accepted("accepted at an inherited listener", "", copied)

	ctx, cancel := context.WithCancel(t.Context())
	var goroutines sync.WaitGroup
	receiver, dir := make(connReceiver, 1), t.TempDir()
	if err := hotrestart.Listen(ctx, &goroutines, dir, "n0", receiver); err != nil {
		t.Fatal(err)
	}
	sender, err := hotrestart.Dial(dir, "n0")
	if err != nil {
		t.Fatal(err)
	}
	for _, end := range ends { // what the taker has is its own doing
		_ = end.(*net.TCPConn).SetNoDelay(false)
	}
	if !sender.Take(proxy.EstablishedSession{}, ends[0], ends[1]) {
		t.Fatal("not taken")
	}
	for i, conn := range <-receiver {
		expectNoDelay([]string{"a caller that was handed over", "a next hop that was"}[i], conn)
		conn.Close()
	}
	sender.Close()
	cancel()
	goroutines.Wait()

	addr := listen(t, func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
	for what, dial := range map[string]func(context.Context, string, time.Time) (net.Conn, error){
		"to a next hop": upstream.New(t.Context(), upstream.Limits{}).Dial, "to discovery": discovery.New(addr, nil).Dial,
	} {
		conn, err := dial(t.Context(), addr, time.Now().Add(testTimeout))
		if err != nil {
			t.Fatal(err)
		}
		expectNoDelay(what, conn)
		conn.Close()
	}
}
