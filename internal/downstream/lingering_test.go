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

// crossingConn is a connection on which a request arrives right after the last answer was written:
// the request is in the socket when the write returns, before the server continues.
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
			for start := time.Now(); c.unread() == before && time.Since(start) < time.Second; {
				time.Sleep(time.Millisecond)
			}
		})
	}
	return n, err
}

// unread returns the number of unread bytes in the socket.
func (c *crossingConn) unread() (n int) {
	raw, err := c.SyscallConn()
	if err == nil {
		_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
	}
	return n
}

// The last answer reaches a client whose request crosses it, whichever answer it is and whatever
// the reason for it. A plain close with that request unread used to reset the connection, which
// discarded the answer. It is the only answer, and the request is not submitted.
func TestLastAnswerReachesClientWhoseRequestCrossesIt(t *testing.T) {
	evictForOthers := func(t *testing.T, _ *Server, listener fakeListener) {
		for range 4 {
			listener.connect(t, "")
		}
	}
	drain := func(_ *testing.T, s *Server, _ fakeListener) {
		now := time.Now()
		s.Drain(DrainPlan{
			RejectAt: now, MoveStartAt: now, MoveEndAt: now.Add(time.Second), EndAt: now.Add(time.Second),
		})
	}
	const halfLine, tooManyPings = "OPEN a k c=fe", maxPings + 1
	tests := []struct {
		name, clientWrites, want string
		pongs                    int
		meanwhile                func(t *testing.T, s *Server, listener fakeListener)
	}{
		{name: "idle", want: "BUSY 500"},
		{name: "idle after PINGs", clientWrites: "PING\r\nPING\r\n", pongs: 2, want: "BUSY 500"},
		{name: "too many PINGs", clientWrites: strings.Repeat("PING\r\n", tooManyPings), pongs: maxPings,
			want: "ERR"},
		{name: "half a line", clientWrites: halfLine, want: "ERR"},
		{name: "no request", clientWrites: "HELLO\r\n", want: "ERR"},
		{name: "idle, evicted", meanwhile: evictForOthers, want: "BUSY 500"},
		{name: "half a line, evicted", clientWrites: halfLine, meanwhile: evictForOthers, want: "BUSY 500"},
		{name: "idle during a drain", meanwhile: drain, want: "BUSY 500"},
		{name: "idle after a PING during a drain", clientWrites: "PING\r\n", pongs: 1, meanwhile: drain,
			want: "BUSY 500"},
		{name: "half a line during a drain", clientWrites: halfLine, meanwhile: drain, want: "BUSY 500"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			dispatcher := make(rejectingDispatcher, 8)
			s := New(dispatcher, nil, Limits{Sockets: 4, RetryAfter: 500 * time.Millisecond})
			listener, stop := serveAll(t, s)
			near, far := connPair(t)
			listener <- &crossingConn{TCPConn: near, far: far}
			fmt.Fprint(far, tt.clientWrites)
			reader := bufio.NewReader(far)
			for range tt.pongs {
				if text, err := reader.ReadString('\n'); text != "PONG\r\n" {
					t.Fatalf("read %q, %v; want PONG", text, err)
				}
			}
			if tt.meanwhile != nil {
				tt.meanwhile(t, s, listener)
			}
			if rest, err := io.ReadAll(reader); err != nil || string(rest) != tt.want+"\r\n" {
				t.Errorf("read %q, %v; want %q and the end of the connection", rest, err, tt.want)
			}
			if len(dispatcher) > 0 {
				t.Error("the request was submitted")
			}
			stop()
		})
	}
}
