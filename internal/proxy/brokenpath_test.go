package proxy_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// brokenConn is a connection whose reads fail with an error once it is broken.
type brokenConn struct {
	net.Conn
	err atomic.Pointer[error]
}

func (c *brokenConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if broken := c.err.Load(); broken != nil && err != nil {
		return n, *broken
	}
	return n, err
}

// breakWith has the connection's reads fail as a socket's do.
func (c *brokenConn) breakWith(errno syscall.Errno) {
	var err error = &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", errno)}
	c.err.Store(&err)
	_ = c.Conn.Close()
}

// The path to an endpoint may break while the endpoint goes on: its clients are sent MOVE. Only a reset
// is the endpoint's own end, and is passed on.
func TestBrokenPathToUpstreamMigratesClient(t *testing.T) {
	for errno, want := range map[syscall.Errno]string{
		syscall.ETIMEDOUT:    "MOVE\r\n",
		syscall.EHOSTUNREACH: "MOVE\r\n",
		syscall.ENETUNREACH:  "MOVE\r\n",
		syscall.ECONNRESET:   "",
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			clientNear, client := connPair(t)
			upstreamNear, upstream := connPair(t)
			broken := &brokenConn{Conn: upstreamNear}
			b := newFixture(clientNear, client, broken, upstream)
			b.run()
			b.establish(t)
			broken.breakWith(errno)
			got, _ := b.clientReader.ReadString('\n')
			if got != want {
				t.Errorf("read %q, want %q", got, want)
			}
			b.closeClient(t)
		})
	}
}

// What an endpoint sends in one piece after a long silence is relayed, also where its MOVE line grows by
// a token so that it no longer fits into the client's buffer: the write deadline of the last line, long
// past by then, must not end the session.
func TestBurstAfterSilenceIsRelayedWithItsToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clientNear, client := net.Pipe()
		upstreamNear, upstream := net.Pipe()
		b := newFixture(clientNear, client, upstreamNear, upstream)
		b.session.Resumption = fixedToken{}
		b.run()
		b.establish(t)
		write(t, b.upstream, "first\r\n")
		b.expectLine(t, b.clientReader, "first\r\n")
		time.Sleep(time.Minute) // of the test's fake time: any write deadline of the first line is over
		lines := strings.Repeat(strings.Repeat("x", 1020)+"\r\n", 4)
		go fmt.Fprint(b.upstream, lines[:4096-len("\r\nMOVE\r\n")]+"\r\nMOVE\r\n")
		received, last := 0, ""
		for !strings.HasPrefix(last, "MOVE") {
			var err error
			if last, err = b.clientReader.ReadString('\n'); err != nil {
				t.Fatalf("after %d bytes: %q, %v", received, last, err)
			}
			received += len(last)
		}
		if want := "MOVE " + (fixedToken{}).Token() + "\r\n"; last != want || received != 4096-len("MOVE\r\n")+len(want) {
			t.Errorf("received %d bytes that end with %q, want %q", received, last, want)
		}
		b.upstream.Close()
		b.closeClient(t)
	})
}

// fixedToken resumes nothing, and has a token.
type fixedToken struct{}

func (fixedToken) StartLine(context.Context, string) string { return "" }
func (fixedToken) Observe([]byte)                           {}
func (fixedToken) Token() string                            { return strings.Repeat("t", 60) }
