// Package testsocket provides real TCP sockets to the tests of several packages. Sockets are closed
// when the test ends, and a socket that cannot be opened fails the test. Only tests import it.
package testsocket

import (
	"net"
	"testing"
)

// Pair returns both ends of a TCP connection over loopback.
func Pair(t testing.TB) (near, far *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close(); dialled.Close() })
	return accepted.(*net.TCPConn), dialled.(*net.TCPConn)
}

// Serve listens on loopback, calls serve for each accepted connection on a goroutine of its own,
// and closes the connection when serve returns.
func Serve(t testing.TB, serve func(net.Conn)) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { defer conn.Close(); serve(conn) }()
		}
	}()
	return listener.Addr().String()
}
