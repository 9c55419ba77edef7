package downstream

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// A first line may arrive in any pieces, and its client may leave after any of them: the
// complete line is taken, half of one never is, and nothing is left behind, as the bubble
// would not end then.
func TestFirstLineInPieces(t *testing.T) {
	const text = "OPEN a k c=feed,d=900\r\n"
	for cut := range len(text) {
		for _, leaves := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				dispatcher := make(rejectingDispatcher, 1)
				listener, stop := serveAll(t, New(dispatcher, nil, Limits{Sockets: 16}))
				near, far := net.Pipe()
				listener <- near
				for _, piece := range []string{text[:cut/2], text[cut/2 : cut]} {
					if piece != "" {
						fmt.Fprint(far, piece)
					}
					time.Sleep(500 * time.Millisecond) // of the bubble's time
				}
				if !leaves {
					fmt.Fprint(far, text[cut:])
					answer, _ := bufio.NewReader(far).ReadString('\n')
					if answer != "BUSY\r\n" || len(dispatcher) != 1 {
						t.Errorf("cut at %d: %q, %d submitted", cut, answer, len(dispatcher))
					}
				}
				far.Close()
				synctest.Wait()
				if leaves && len(dispatcher) > 0 {
					t.Errorf("cut at %d: half a line was taken", cut)
				}
				stop()
			})
		}
	}
}

// Whatever timeout a client asks for, it holds its sockets no longer than the protocol has
// a use for.
func TestRequestTimeoutIsBounded(t *testing.T) {
	listener := listen(t)
	dispatcher := make(rejectingDispatcher, 1)
	s := New(dispatcher, nil, Limits{Sockets: 16})
	stopServing := serve(t, s, listener)
	for asked, want := range map[string]time.Duration{"1800": 1800 * time.Millisecond, "4294967": maxRequestTimeout} {
		conn := dial(t, listener)
		begun := time.Now()
		fmt.Fprintf(conn, "OPEN a k1 c=feed,d=%s\r\n", asked)
		got := (<-dispatcher).Deadline.Sub(begun)
		if got > want+time.Second || got < want-time.Second {
			t.Errorf("d=%s: the timeout is %v, want about %v", asked, got, want)
		}
		conn.Close()
	}
	stopServing()
	s.Close()
}
