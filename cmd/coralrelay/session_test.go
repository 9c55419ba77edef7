package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"coralrelay/internal/testsocket"
)

// A client may send PING before its first line, and the node relays the lines of its session.
func TestRelaysSession(t *testing.T) {
	var firstLines atomic.Int32
	addr, _, _ := startNode(t, testsocket.Serve(t, serveUpstream(&firstLines)), 1024)
	c := dialClient(t, addr, "PING\r\n")
	if s := c.readLine(); s != "PONG" {
		t.Fatalf("ping: %q", s)
	}
	fmt.Fprint(c, openLine("a")) // PING may come before the first line
	if s := c.readLine(); s != "UP r1" {
		t.Fatalf("first answer %q", s)
	}
	c.expectRelayed("the session")
	if s := dialClient(t, addr, "OPEN b k1 c=feed,d=1200,at=s1\r\n").readLine(); s != "UP r1" {
		t.Fatalf("a session that its upstream already has: %q", s)
	}
}

// A malformed first line is answered with one error, the connection is closed, and nothing is forwarded.
func TestRejectsMalformedFirstLines(t *testing.T) {
	var firstLines atomic.Int32
	addr, _, _ := startNode(t, testsocket.Serve(t, serveUpstream(&firstLines)), 1024)
	for name, text := range map[string]string{
		"word":          "HELLO\r\n",
		"binary":        "OPEN \x00\xff k c=feed,d=1\r\n",
		"no wait":       "OPEN a k c=feed\r\n",
		"class unknown": "OPEN a k c=chat,d=1000\r\n",
		"endless":       strings.Repeat("OPEN", 5000),
	} {
		c := dialClient(t, addr, text)
		if s := c.readLine(); s != "ERR" {
			t.Errorf("%s: answered %q", name, s)
		}
		if s, err := c.reader.ReadString('\n'); err == nil {
			t.Errorf("%s: unexpected second answer %q", name, s)
		}
	}
	if n := firstLines.Load(); n != 0 {
		t.Errorf("%d first lines were forwarded", n)
	}
}

// A client that never sends a complete first line is answered or disconnected within 3 s after it connected,
// whatever it sends in that time.
func TestClientsWithoutFirstLineAreAnsweredInTime(t *testing.T) {
	var firstLines atomic.Int32
	addr, _, _ := startNode(t, testsocket.Serve(t, serveUpstream(&firstLines)), 1024)
	for name, text := range map[string]string{
		"silent": "", "half a line": "OPEN a k1 c=fe", "pings": "PING\r\n", "drips": "O",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			start := time.Now()
			c := dialClient(t, addr, text)
			if name == "pings" {
				c.readLine()
			}
			if name == "drips" { // further bytes must not extend the time limit
				go func() {
					for range time.Tick(100 * time.Millisecond) {
						if _, err := c.Write([]byte("x")); err != nil {
							return
						}
					}
				}()
			}
			s, err := c.reader.ReadString('\n')
			if took := time.Since(start); took > 3*time.Second || err == nil && s != "ERR\r\n" && s != "BUSY 500\r\n" {
				t.Errorf("%q, %v after %v", s, err, took)
			}
		})
	}
}

// The error reaches a client that is still sending, without waiting for all that it sends.
func TestErrorIsSentWhileClientStillSends(t *testing.T) {
	var firstLines atomic.Int32
	addr, _, _ := startNode(t, testsocket.Serve(t, serveUpstream(&firstLines)), 1024)
	for _, first := range []string{"", "OPEN a k1 c=chat,d=1000\r\n"} {
		c := dialClient(t, addr, first)
		sent := make(chan int)
		go func() {
			n, _ := c.Write(make([]byte, 60<<20))
			sent <- n
		}()
		if s := c.readLine(); s != "ERR" {
			t.Errorf("answered %q", s)
		}
		if n := <-sent; n == 60<<20 {
			t.Error("the node read all that the client sent")
		}
	}
}

// delayedUpConn delays the write of UP until it is released.
type delayedUpConn struct {
	net.Conn
	isReleased *atomic.Bool
}

func (c *delayedUpConn) Write(b []byte) (int, error) {
	for strings.HasPrefix(string(b), "UP") && !c.isReleased.Load() {
		time.Sleep(time.Millisecond)
	}
	return c.Conn.Write(b)
}

// A request with the id of another client's open request is rejected with an error. The other client
// keeps both its request and its connection.
func TestRejectsIDInUse(t *testing.T) {
	var firstLines atomic.Int32
	var upReleased atomic.Bool
	addr, _, _ := startNode(t, testsocket.Serve(t, func(conn net.Conn) {
		serveUpstream(&firstLines)(&delayedUpConn{conn, &upReleased})
	}), 1024)
	owner := dialClient(t, addr, openLine("a"))
	for start := time.Now(); firstLines.Load() == 0 && time.Since(start) < testTimeout; {
		time.Sleep(time.Millisecond)
	}
	if s := dialClient(t, addr, openLine("a")).readLine(); s != "ERR" {
		t.Errorf("while the session is set up: %q", s)
	}
	upReleased.Store(true)
	if s := owner.readLine(); s != "UP r1" {
		t.Errorf("the first client's answer: %q", s)
	}
	if s := dialClient(t, addr, openLine("a")).readLine(); s != "ERR" {
		t.Errorf("while the session is established: %q", s)
	}
	owner.expectRelayed("the owner")
	if n := firstLines.Load(); n != 1 {
		t.Errorf("%d first lines were forwarded", n)
	}
}

// Silent clients must not use up the sockets: the client that has been silent for longest is evicted, and
// normal clients are served.
func TestEvictsSilentClients(t *testing.T) {
	var firstLines atomic.Int32
	addr, _, _ := startNode(t, testsocket.Serve(t, serveUpstream(&firstLines)), 64)
	silent := make([]*client, 200)
	for i := range silent {
		silent[i] = dialClient(t, addr, "")
		if i%20 == 0 {
			if s := dialClient(t, addr, openLine(fmt.Sprint("a", i))).readLine(); s != "UP r1" {
				t.Fatalf("a normal client after %d silent ones: %q", i+1, s)
			}
		}
	}
	if s := silent[0].readLine(); s != "BUSY 500" {
		t.Errorf("the first silent client: %q", s)
	}
}

// The answer arrives before the deadline, even if the upstream accepts the first line and never answers,
// or if the node has no list of endpoints.
func TestAnswersBeforeTheDeadline(t *testing.T) {
	hung := testsocket.Serve(t, func(conn net.Conn) { _, _ = bufio.NewReader(conn).ReadString(0) })
	for name, upstreamAddr := range map[string]string{"hung upstream": hung, "no list": ""} {
		addr, _, _ := startNode(t, upstreamAddr, 1024)
		start := time.Now()
		s := dialClient(t, addr, "OPEN a k1 c=feed,d=400\r\n").readLine()
		// On sockets, 50 ms more than the deadline are allowed; a loaded machine may need them.
		if took := time.Since(start); !strings.HasPrefix(s, "BUSY ") || took > 450*time.Millisecond {
			t.Errorf("%s: %q after %v", name, s, took)
		}
	}
}

// A node that uses all sockets of its limit rejects further sessions with a Retry-After.
func TestBusyBeyondSocketLimit(t *testing.T) {
	var firstLines atomic.Int32
	addr, _, _ := startNode(t, testsocket.Serve(t, serveUpstream(&firstLines)), 64)
	for i := range 24 { // (64 - 16) / 2: two sockets per session
		openSession(t, addr, fmt.Sprint("a", i))
	}
	if s := dialClient(t, addr, openLine("b")).readLine(); s != "BUSY 500" {
		t.Errorf("a client beyond the limit: %q", s)
	}
}
