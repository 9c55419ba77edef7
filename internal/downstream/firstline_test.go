package downstream

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// A first line may arrive in any pieces, and its client may disconnect after any of them: the
// complete line is accepted, a partial one never is, and no goroutine is left, as the synctest
// bubble would not end otherwise.
func TestFirstLineInPieces(t *testing.T) {
	const text = "OPEN a k c=feed,d=900\r\n"
	for cut := range len(text) {
		for _, disconnects := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				dispatcher := make(rejectingDispatcher, 1)
				listener, stop := serveAll(t, New(dispatcher, nil, Limits{Sockets: 16}))
				near, far := net.Pipe()
				listener <- near
				for _, piece := range []string{text[:cut/2], text[cut/2 : cut]} {
					if piece != "" {
						fmt.Fprint(far, piece)
					}
					time.Sleep(500 * time.Millisecond) // in the bubble's fake time
				}
				if !disconnects {
					fmt.Fprint(far, text[cut:])
					answer, _ := bufio.NewReader(far).ReadString('\n')
					if answer != "BUSY\r\n" || len(dispatcher) != 1 {
						t.Errorf("cut at %d: read %q, %d sessions submitted", cut, answer, len(dispatcher))
					}
				}
				far.Close()
				synctest.Wait()
				if disconnects && len(dispatcher) > 0 {
					t.Errorf("cut at %d: a partial line was accepted", cut)
				}
				stop()
			})
		}
	}
}

// Whatever timeout a client requests, it does not hold its sockets for longer than the protocol
// needs.
func TestRequestTimeoutIsBounded(t *testing.T) {
	listener := listen(t)
	dispatcher := make(rejectingDispatcher, 1)
	s := New(dispatcher, nil, Limits{Sockets: 16})
	stopServing := serve(t, s, listener)
	for requested, want := range map[string]time.Duration{
		"1800": 1800 * time.Millisecond, "4294967": maxRequestTimeout,
	} {
		conn := dial(t, listener)
		start := time.Now()
		fmt.Fprintf(conn, "OPEN a k1 c=feed,d=%s\r\n", requested)
		got := (<-dispatcher).Deadline.Sub(start)
		if got > want+time.Second || got < want-time.Second {
			t.Errorf("d=%s: the timeout is %v, want about %v", requested, got, want)
		}
		conn.Close()
	}
	stopServing()
	s.Close()
}
