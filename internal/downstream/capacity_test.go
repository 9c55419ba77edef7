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

// countingListener notes after each accept how many sockets the server uses.
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

// Many clients that stay idle, send what is no request, or send one that is never answered,
// and do not leave when they are rejected, get no more sockets than there are, those of
// lingering clients included: once each newcomer was accepted. Usual clients between them
// are answered.
func TestManyClientsStayWithinTheSocketLimit(t *testing.T) {
	const sockets = 32
	s := New(newParkingDispatcher(), nil, Limits{Sockets: sockets})
	listener := &countingListener{Listener: listen(t), server: s}
	stopServing := serve(t, s, listener)
	for i := range 200 {
		conn := dial(t, listener)
		defer conn.Close()
		request := fmt.Sprintf("OPEN a%d k c=feed,d=40000\r\n", i)
		fmt.Fprint(conn, []string{"", "HELLO\r\n", strings.Repeat("PING\r\n", maxPings+1), request, "HELLO\r\n"}[i%5])
		if i%20 == 19 {
			expectUsualClientAnswered(t, listener, i)
		}
	}
	if most, bound := listener.maxInUse.Load(), int64(sockets+LingeringSockets(sockets)); most > bound {
		t.Errorf("%d sockets were in use, %d allowed", most, bound)
	}
	if most := listener.maxInUse.Load(); most < sockets {
		t.Errorf("only %d of %d sockets were in use", most, sockets)
	}
	stopServing()
	s.Close()
}

func expectUsualClientAnswered(t *testing.T, listener net.Listener, others int) {
	t.Helper()
	conn := dial(t, listener)
	defer conn.Close()
	begun := time.Now()
	if err := conn.SetDeadline(begun.Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(conn, "HELLO\r\n")
	if text, err := bufio.NewReader(conn).ReadString('\n'); text != "ERR\r\n" && text != "BUSY\r\n" {
		t.Errorf("a usual client behind %d: %q, %v after %v", others, text, err, time.Since(begun))
	}
}

// A limit that falls below the open sessions, as the endpoint list grows or another process
// takes its share, rejects newcomers, and still accepts them.
func TestSocketLimitBelowOpenSessionsRejectsNewcomers(t *testing.T) {
	dispatcher := newParkingDispatcher()
	s := New(dispatcher, nil, Limits{Sockets: 32})
	listener, stop := serveAll(t, s)
	for i := range 12 {
		listener.connect(t, fmt.Sprintf("OPEN a%d k c=feed,d=40000\r\n", i))
		<-dispatcher.submitted
	}
	s.SetSocketLimit(8)
	for range 20 {
		newcomer := listener.connect(t, "OPEN b k c=feed,d=900\r\n")
		if text := readAll(t, newcomer); text != "BUSY\r\n" {
			t.Errorf("a newcomer: %q", text)
		}
		newcomer.Close()
	}
	if len(dispatcher.submitted) > 0 {
		t.Error("a newcomer was submitted")
	}
	stop()
}

// Clients that a full server rejects, and that stay, make way for the next ones: once each held one of a few sockets for
// 25 ms, and whoever came behind them waited for seconds.
func TestFullServerRejectsManyThatStay(t *testing.T) {
	const sockets, newcomers, limit = 32, 300, 2 * time.Second
	dispatcher := newParkingDispatcher()
	s := New(dispatcher, nil, Limits{Sockets: sockets})
	listener := listen(t)
	stopServing := serve(t, s, listener)
	for i := range sockets / 2 {
		conn := dial(t, listener)
		defer conn.Close()
		fmt.Fprintf(conn, "OPEN a%d k c=feed,d=40000\r\n", i)
		<-dispatcher.submitted
	}
	begun := time.Now()
	var rejected []net.Conn
	for i := range newcomers {
		conn := dial(t, listener)
		defer conn.Close()
		fmt.Fprintf(conn, "OPEN b%d k c=feed,d=900\r\n", i)
		rejected = append(rejected, conn)
	}
	for i, conn := range rejected {
		_ = conn.SetDeadline(begun.Add(testTimeout))
		if text := readAll(t, conn); text != "BUSY\r\n" {
			t.Fatalf("newcomer %d: %q", i, text)
		}
	}
	if took := time.Since(begun); took > limit {
		t.Errorf("%d newcomers were rejected in %v, want %v", newcomers, took, limit)
	}
	stopServing()
	s.Close()
}
