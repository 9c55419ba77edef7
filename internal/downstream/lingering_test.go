package downstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const testTimeout = 10 * time.Second // no test waits this long unless it fails

// pair returns both ends of a connection on real sockets.
func connPair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	there, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	here, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { here.Close(); there.Close() })
	there.SetDeadline(time.Now().Add(testTimeout))
	return here.(*net.TCPConn), there.(*net.TCPConn)
}

// crossing is a connection on which a request comes in the moment in which the last answer
// has been written and the node has not gone on: it lies in the socket when the write
// returns.
type crossingConn struct {
	*net.TCPConn
	far  net.Conn
	once sync.Once
}

func (c *crossingConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if !strings.HasPrefix(string(p), "PONG") {
		c.once.Do(func() {
			before := c.unread()
			fmt.Fprint(c.far, "OPEN late k c=feed,d=900\r\n")
			for begun := time.Now(); c.unread() == before && time.Since(begun) < time.Second; {
				time.Sleep(time.Millisecond)
			}
		})
	}
	return n, err
}

// unread is how much lies in the socket.
func (c *crossingConn) unread() (n int) {
	raw, err := c.SyscallConn()
	if err == nil {
		_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
	}
	return n
}

// The last answer reaches a caller whose request crosses it, whatever it is told and why:
// once a plain close over that request was a reset, which took the answer with it. It is
// the only answer, and the request goes nowhere.
func TestLastAnswerSurvivesACrossingRequest(t *testing.T) {
	type told struct {
		name, clientWrites, want string
		pongs                    int
		meanwhile                func(s *Server, connect func())
	}
	makeCapacity := func(_ *Server, connect func()) { // for others
		for range 4 {
			connect()
		}
	}
	drain := func(s *Server, _ func()) {
		now := time.Now()
		s.Drain(DrainPlan{RejectAt: now, MoveStartAt: now, MoveEndAt: now.Add(time.Second), EndAt: now.Add(time.Second)})
	}
	tests := []told{
		{name: "rests", want: "BUSY 500"},
		{name: "rests after PINGs", clientWrites: "PING\r\nPING\r\n", pongs: 2, want: "BUSY 500"},
		{name: "PINGs too often", clientWrites: strings.Repeat("PING\r\n", maxPings+1), pongs: maxPings, want: "ERR"},
		{name: "half a line", clientWrites: "OPEN a k c=fe", want: "ERR"},
		{name: "no line", clientWrites: "HELLO\r\n", want: "ERR"},
		{name: "rests, makes room", meanwhile: makeCapacity, want: "BUSY 500"},
		{name: "half a line, makes room", clientWrites: "OPEN a k c=fe", meanwhile: makeCapacity, want: "BUSY 500"},
		{name: "rests to the end", meanwhile: drain, want: "BUSY 500"},
		{name: "rests to the end after a PING", clientWrites: "PING\r\n", pongs: 1, meanwhile: drain, want: "BUSY 500"},
		{name: "half a line at the end", clientWrites: "OPEN a k c=fe", meanwhile: drain, want: "BUSY 500"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			d, l := make(rejectingDispatcher, 8), make(fakeListener)
			s := New(d, nil, Limits{Sockets: 4, RetryAfter: 500 * time.Millisecond})
			served := make(chan error, 1)
			go func() { served <- s.Serve(l) }()
			near, far := connPair(t)
			l <- &crossingConn{TCPConn: near, far: far}
			fmt.Fprint(far, tt.clientWrites)
			r := bufio.NewReader(far)
			for range tt.pongs {
				if text, err := r.ReadString('\n'); text != "PONG\r\n" {
					t.Fatalf("%q, %v", text, err)
				}
			}
			if tt.meanwhile != nil {
				tt.meanwhile(s, func() { near, _ := connPair(t); l <- near })
			}
			if all, err := io.ReadAll(r); err != nil || string(all) != tt.want+"\r\n" {
				t.Errorf("%q, %v; want %q and the end", all, err, tt.want)
			}
			if len(d) > 0 {
				t.Error("the request went on")
			}
			_ = l.Close()
			<-served
			s.Close()
		})
	}
}
