package bufconn

import (
	"fmt"
	"net"
	"testing"
	"time"

	"coralrelay/internal/testsocket"
)

// A detached connection has no deadline, is idle until input arrives or the peer closes it, and can
// be reused. Detach closes a connection that has unread input.
func TestDetachedConnectionIsIdleUntilInputArrives(t *testing.T) {
	for name, tt := range map[string]struct {
		do   func(far net.Conn)
		idle bool
	}{
		"nothing":  {func(net.Conn) {}, true},
		"a line":   {func(far net.Conn) { fmt.Fprint(far, "late\r\n") }, false},
		"its end":  {func(far net.Conn) { far.Close() }, false},
		"a reset":  {func(far net.Conn) { _ = far.(*net.TCPConn).SetLinger(0); far.Close() }, false},
		"a byte":   {func(far net.Conn) { fmt.Fprint(far, "x") }, false},
		"half end": {func(far net.Conn) { _ = far.(*net.TCPConn).CloseWrite() }, false},
	} {
		near, far := testsocket.Pair(t)
		conn := New(near)
		fmt.Fprint(far, "answer\r\n")
		if line, err := conn.ReadTextLineBefore(time.Now().Add(20 * time.Millisecond)); err != nil ||
			string(line) != "answer" {
			t.Fatalf("read %q, %v; want the answer", line, err)
		}
		detached := conn.Detach()
		time.Sleep(30 * time.Millisecond) // the deadline of the read above passes
		tt.do(far)
		if !tt.idle {
			for start := time.Now(); IsIdle(detached); time.Sleep(time.Millisecond) {
				if time.Since(start) > 5*time.Second {
					t.Fatalf("%s: still idle", name)
				}
			}
		} else if !IsIdle(detached) {
			t.Errorf("%s: not idle", name)
		}
	}
	near, far := testsocket.Pair(t)
	conn := New(near)
	fmt.Fprint(far, "answer\r\nand more\r\n")
	if _, err := conn.ReadTextLineBefore(time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	if detached := conn.Detach(); detached != nil {
		t.Error("Detach returned a connection that has unread input")
	}
}

// The age of the last received bytes counts from their arrival, however late they are read.
func TestSinceLastArrival(t *testing.T) {
	near, far := testsocket.Pair(t)
	fmt.Fprint(far, "OPEN\r\n")
	time.Sleep(300 * time.Millisecond) // the interval to measure
	if age := SinceLastArrival(near); age < 200*time.Millisecond || age > 5*time.Second {
		t.Errorf("the last bytes arrived %v ago, want 300 ms", age)
	}
	pipe, _ := net.Pipe()
	if age := SinceLastArrival(pipe); age != 0 {
		t.Errorf("age of a pipe without a descriptor: %v", age)
	}
}
