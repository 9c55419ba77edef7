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

// client is a caller's connection.
type client struct {
	net.Conn
	reader *bufio.Reader
	t      *testing.T
}

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

func (c *client) readLine() string {
	c.t.Helper()
	s, err := c.reader.ReadString('\n')
	if err != nil {
		c.t.Fatalf("read %q, %v", s, err)
	}
	return strings.TrimSuffix(s, "\r\n")
}

// rest is all that comes until the end, which must be one in good order.
func (c *client) readToEnd() string {
	c.t.Helper()
	text, err := io.ReadAll(c.reader)
	if err != nil {
		c.t.Errorf("after %q: %v", text, err)
	}
	return string(text)
}

func openLine(id string) string { return "OPEN " + id + " k1 c=feed,d=1200,g=5c\r\n" }
