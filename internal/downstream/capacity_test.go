package downstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// counted notes after each accept how many sockets the server uses.
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

// A crowd that rests, sends what is no line, or opens what is never answered, and does not
// go when it is told to, gets no more sockets than there are, those of read-outs included:
// once each newcomer was accepted. Usual callers between them are answered.
func TestManyClientsStayWithinTheSocketLimit(t *testing.T) {
	const sockets = 32
	dispatcher := newParkingDispatcher()
	s := New(dispatcher, nil, Limits{Sockets: sockets})
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &countingListener{Listener: plain, server: s}
	served := make(chan error, 1)
	go func() { served <- s.Serve(listener) }()
	for i := range 200 {
		conn, err := net.Dial("tcp", plain.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		opens := fmt.Sprintf("OPEN a%d k c=feed,d=40000\r\n", i)
		fmt.Fprint(conn, []string{"", "HELLO\r\n", strings.Repeat("PING\r\n", maxPings+1), opens, "HELLO\r\n"}[i%5])
		if i%20 == 19 {
			usual, err := net.Dial("tcp", plain.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			begun := time.Now()
			usual.SetDeadline(begun.Add(testTimeout))
			fmt.Fprint(usual, "HELLO\r\n")
			if text, err := bufio.NewReader(usual).ReadString('\n'); text != "ERR\r\n" && text != "BUSY\r\n" {
				t.Errorf("a usual caller behind %d: %q, %v after %v", i, text, err, time.Since(begun))
			}
			usual.Close()
		}
	}
	if most, bound := listener.maxInUse.Load(), int64(sockets+LingeringSockets(sockets)); most > bound {
		t.Errorf("%d sockets were in use, %d allowed", most, bound)
	}
	if most := listener.maxInUse.Load(); most < sockets {
		t.Errorf("only %d of %d sockets were in use", most, sockets)
	}
	_ = plain.Close()
	<-served
	s.Close()
}

// A limit that falls under what stands, as the list grows or a process beside this one
// takes its share, turns newcomers away, and not from the door.
func TestSocketLimitBelowOpenSessionsRejectsNewcomers(t *testing.T) {
	dispatcher, listener := newParkingDispatcher(), make(fakeListener)
	s := New(dispatcher, nil, Limits{Sockets: 32})
	served := make(chan error, 1)
	go func() { served <- s.Serve(listener) }()
	for i := range 12 {
		near, far := connPair(t)
		listener <- near
		fmt.Fprintf(far, "OPEN a%d k c=feed,d=40000\r\n", i)
		<-dispatcher.submitted
	}
	s.SetSocketLimit(8)
	for range 20 {
		near, far := connPair(t)
		listener <- near
		fmt.Fprint(far, "OPEN b k c=feed,d=900\r\n")
		if text, err := io.ReadAll(far); string(text) != "BUSY\r\n" || err != nil {
			t.Errorf("a newcomer: %q, %v", text, err)
		}
		far.Close()
	}
	if len(dispatcher.submitted) > 0 {
		t.Error("a newcomer was taken")
	}
	_ = listener.Close()
	<-served
	s.Close()
}
