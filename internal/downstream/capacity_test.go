package downstream

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// countingListener records the largest number of sockets that the server has used after an accept.
type countingListener struct {
	net.Listener
	server   *Server
	maxInUse atomic.Int64
}

func (c *countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	c.maxInUse.Store(max(c.maxInUse.Load(), int64(c.server.SocketsInUse())))
	return conn, err
}

// Clients that stay idle, send something other than a request, or send a request that is never
// answered, and that do not close when they are rejected, must not use more sockets than the limit,
// including the sockets of lingering clients. Every such client used to be accepted. Ordinary
// clients in between are answered.
func TestManyClientsStayWithinTheSocketLimit(t *testing.T) {
	const sockets = 32
	s := New(newHoldingDispatcher(), nil, Limits{Sockets: sockets})
	listener := &countingListener{Listener: listen(t), server: s}
	stopServing := serve(t, s, listener)
	for i := range 200 {
		conn := dial(t, listener)
		defer conn.Close()
		request := fmt.Sprintf("OPEN a%d k c=feed,d=40000\r\n", i)
		fmt.Fprint(conn, []string{
			"", "HELLO\r\n", strings.Repeat("PING\r\n", maxPings+1), request, "HELLO\r\n",
		}[i%5])
		if i%20 == 19 {
			expectOrdinaryClientAnswered(t, listener, i)
		}
	}
	if peak, limit := listener.maxInUse.Load(), int64(sockets+LingeringSockets(sockets)); peak > limit {
		t.Errorf("%d sockets were in use, %d allowed", peak, limit)
	}
	if peak := listener.maxInUse.Load(); peak < sockets {
		t.Errorf("only %d of %d sockets were in use", peak, sockets)
	}
	stopServing()
	s.Close()
}

func expectOrdinaryClientAnswered(t *testing.T, listener net.Listener, others int) {
	t.Helper()
	conn := dial(t, listener)
	defer conn.Close()
	start := time.Now()
	if err := conn.SetDeadline(start.Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(conn, "HELLO\r\n")
	if text, err := bufio.NewReader(conn).ReadString('\n'); text != "ERR\r\n" && text != "BUSY\r\n" {
		t.Errorf("an ordinary client behind %d others read %q, %v after %v",
			others, text, err, time.Since(start))
	}
}

// A limit that falls below the number of open sessions, as the endpoint list grows or another
// process takes its share, makes the server reject new clients; it still accepts their connections.
func TestSocketLimitBelowOpenSessionsRejectsNewClients(t *testing.T) {
	dispatcher := newHoldingDispatcher()
	s := New(dispatcher, nil, Limits{Sockets: 32})
	listener, stop := serveAll(t, s)
	for i := range 12 {
		listener.connect(t, fmt.Sprintf("OPEN a%d k c=feed,d=40000\r\n", i))
		<-dispatcher.submitted
	}
	s.SetSocketLimit(8)
	for range 20 {
		newClient := listener.connect(t, "OPEN b k c=feed,d=900\r\n")
		if text := readAll(t, newClient); text != "BUSY\r\n" {
			t.Errorf("a new client read %q", text)
		}
		newClient.Close()
	}
	if len(dispatcher.submitted) > 0 {
		t.Error("the session of a new client was submitted")
	}
	stop()
}

// Clients that a full server rejects and that do not close make room for the next ones. Each used
// to hold one of a few sockets for 25 ms, and the clients behind them waited for seconds.
func TestFullServerRejectsManyClientsThatDoNotClose(t *testing.T) {
	const sockets, newClients, limit = 32, 300, 2 * time.Second
	dispatcher := newHoldingDispatcher()
	s := New(dispatcher, nil, Limits{Sockets: sockets})
	listener := listen(t)
	stopServing := serve(t, s, listener)
	for i := range sockets / 2 {
		conn := dial(t, listener)
		defer conn.Close()
		fmt.Fprintf(conn, "OPEN a%d k c=feed,d=40000\r\n", i)
		<-dispatcher.submitted
	}
	start := time.Now()
	var rejected []net.Conn
	for i := range newClients {
		conn := dial(t, listener)
		defer conn.Close()
		fmt.Fprintf(conn, "OPEN b%d k c=feed,d=900\r\n", i)
		rejected = append(rejected, conn)
	}
	for i, conn := range rejected {
		_ = conn.SetDeadline(start.Add(testTimeout))
		if text := readAll(t, conn); text != "BUSY\r\n" {
			t.Fatalf("new client %d read %q", i, text)
		}
	}
	if took := time.Since(start); took > limit {
		t.Errorf("%d new clients were rejected in %v, want at most %v", newClients, took, limit)
	}
	stopServing()
	s.Close()
}
