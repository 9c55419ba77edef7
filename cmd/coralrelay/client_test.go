package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// client is one client connection to the node.
type client struct {
	net.Conn
	reader *bufio.Reader
	t      *testing.T
}

// dialClient connects to addr and sends text.
func dialClient(t *testing.T, addr, text string) *client {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprint(conn, text)
	return &client{conn, bufio.NewReader(conn), t}
}

// readLine reads one line and returns it without its line end. It fails the test if no line arrives.
func (c *client) readLine() string {
	c.t.Helper()
	s, err := c.reader.ReadString('\n')
	if err != nil {
		c.t.Fatalf("read %q, %v", s, err)
	}
	return strings.TrimSuffix(s, "\r\n")
}

// readToEnd reads until the end of the connection, which must not be a reset.
func (c *client) readToEnd() string {
	c.t.Helper()
	text, err := io.ReadAll(c.reader)
	if err != nil {
		c.t.Errorf("after %q: %v", text, err)
	}
	return string(text)
}

// openLine returns a first line that opens a session with the given id.
func openLine(id string) string { return "OPEN " + id + " k1 c=feed,d=1200,g=5c\r\n" }

// openSession opens a session and requires that it is accepted.
func openSession(t *testing.T, addr, id string) *client {
	t.Helper()
	c := dialClient(t, addr, openLine(id))
	if s := c.readLine(); s != "UP r1" {
		t.Fatalf("%s: answered %q", id, s)
	}
	return c
}

// expectRelayed requires that the session relays a request and its answer.
func (c *client) expectRelayed(when string) {
	c.t.Helper()
	fmt.Fprint(c, "are you there\r\n")
	if s := c.readLine(); s != "yes" {
		c.t.Errorf("%s: relayed %q", when, s)
	}
}
