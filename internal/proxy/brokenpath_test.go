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

// breakWith makes the connection's reads fail with errno, like those of a socket.
func (c *brokenConn) breakWith(errno syscall.Errno) {
	var err error = &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", errno)}
	c.err.Store(&err)
	_ = c.Conn.Close()
}

// The path to an upstream may break while the upstream continues to run: its client is sent MOVE.
// Only a reset comes from the upstream itself, and is passed on to the client.
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
			f := newFixture(clientNear, client, broken, upstream)
			f.run()
			f.establish(t)
			broken.breakWith(errno)
			got, _ := f.clientReader.ReadString('\n')
			if got != want {
				t.Errorf("the client read %q, want %q", got, want)
			}
			f.closeClient(t)
		})
	}
}

// What an upstream sends at once after a long silence is relayed, even if the resume token makes
// its MOVE line so long that it no longer fits into the buffer for the client: the write deadline
// of the line before, which has passed long ago, must not end the session.
func TestBurstAfterSilenceIsRelayedWithToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clientNear, client := net.Pipe()
		upstreamNear, upstream := net.Pipe()
		f := newFixture(clientNear, client, upstreamNear, upstream)
		f.session.Resumption = fixedToken{}
		f.run()
		f.establish(t)
		write(t, f.upstream, "first\r\n")
		f.expectLine(t, f.clientReader, "first\r\n")
		time.Sleep(time.Minute) // fake time: any write deadline of the first line passes
		lines := strings.Repeat(strings.Repeat("x", 1020)+"\r\n", 4)
		go fmt.Fprint(f.upstream, lines[:4096-len("\r\nMOVE\r\n")]+"\r\nMOVE\r\n")
		received, last := 0, ""
		for !strings.HasPrefix(last, "MOVE") {
			var err error
			if last, err = f.clientReader.ReadString('\n'); err != nil {
				t.Fatalf("after %d bytes: %q, %v", received, last, err)
			}
			received += len(last)
		}
		if want := "MOVE " + (fixedToken{}).Token() + "\r\n"; last != want ||
			received != 4096-len("MOVE\r\n")+len(want) {
			t.Errorf("received %d bytes that end with %q, want %q", received, last, want)
		}
		f.upstream.Close()
		f.closeClient(t)
	})
}

// fixedToken is a Resumption that starts no stream and has a constant token.
type fixedToken struct{}

func (fixedToken) StartLine(context.Context, string) string { return "" }
func (fixedToken) Observe([]byte)                           {}
func (fixedToken) Token() string                            { return strings.Repeat("t", 60) }
