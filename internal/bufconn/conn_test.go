package bufconn

import (
	"fmt"
	"net"
	"testing"
	"time"

	"coralrelay/internal/testsocket"
)

// A connection that was detached has no deadline left, is idle until something comes, and may be used
// again; with input left over it is closed.
func TestDetachedConnectionIsIdleUntilSomethingComes(t *testing.T) {
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
		if line, err := conn.ReadTextLineBefore(time.Now().Add(20 * time.Millisecond)); err != nil || string(line) != "answer" {
			t.Fatalf("%q, %v", line, err)
		}
		kept := conn.Detach()
		time.Sleep(30 * time.Millisecond) // what is tested: the deadline of that read is over
		tt.do(far)
		if !tt.idle {
			for begun := time.Now(); IsIdle(kept); time.Sleep(time.Millisecond) {
				if time.Since(begun) > 5*time.Second {
					t.Fatalf("%s: idle", name)
				}
			}
		} else if !IsIdle(kept) {
			t.Errorf("%s: not idle", name)
		}
	}
	near, far := testsocket.Pair(t)
	conn := New(near)
	fmt.Fprint(far, "answer\r\nand more\r\n")
	if _, err := conn.ReadTextLineBefore(time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	if kept := conn.Detach(); kept != nil {
		t.Error("detached with input left over")
	}
}

// The time since bytes have arrived counts from there, however late they are read.
func TestSinceLastArrival(t *testing.T) {
	near, far := testsocket.Pair(t)
	fmt.Fprint(far, "OPEN\r\n")
	time.Sleep(300 * time.Millisecond) // what is measured
	if age := SinceLastArrival(near); age < 200*time.Millisecond || age > 5*time.Second {
		t.Errorf("%v, want 300 ms", age)
	}
	pipe, _ := net.Pipe()
	if age := SinceLastArrival(pipe); age != 0 {
		t.Errorf("a pipe: %v", age)
	}
}
