package downstream

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/dispatch"
	"coralrelay/internal/proxy"
)

// decider keeps what is submitted, and refuses it.
type rejectingDispatcher chan *proxy.Session

func (d rejectingDispatcher) Submit(item dispatch.Placement, _ dispatch.AttemptStarter) {
	d <- item.(*proxy.Session)
	item.Reject(0)
}

func (rejectingDispatcher) Adopt(dispatch.Placement, string) bool              { return true }
func (rejectingDispatcher) ClientGone(dispatch.Placement)                      {}
func (rejectingDispatcher) PlacementEnded(dispatch.Placement, balance.Outcome) {}

// door is a listener that hands out what is put into it.
type fakeListener chan net.Conn

func (d fakeListener) Accept() (net.Conn, error) {
	if c, ok := <-d; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}
func (d fakeListener) Close() error { close(d); return nil }
func (fakeListener) Addr() net.Addr { return &net.TCPAddr{} }

// A first line may come in any pieces, and its caller may go after any of them: the
// whole line is taken, half of one never is, and nothing is left behind, as the bubble
// would not end then.
func TestFirstLineInPieces(t *testing.T) {
	const text = "OPEN a k c=feed,d=900\r\n"
	for cut := range len(text) {
		for _, goes := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				d, l := make(rejectingDispatcher, 1), make(fakeListener)
				s := New(d, nil, Limits{Sockets: 16})
				served := make(chan error, 1)
				go func() { served <- s.Serve(l) }()
				near, far := net.Pipe()
				l <- near
				for _, piece := range []string{text[:cut/2], text[cut/2 : cut]} {
					if piece != "" {
						fmt.Fprint(far, piece)
					}
					time.Sleep(500 * time.Millisecond) // of the bubble's time
				}
				if !goes {
					fmt.Fprint(far, text[cut:])
					answer, _ := bufio.NewReader(far).ReadString('\n')
					if answer != "BUSY\r\n" || len(d) != 1 {
						t.Errorf("cut at %d: %q, %d taken", cut, answer, len(d))
					}
				}
				far.Close()
				synctest.Wait()
				if goes && len(d) > 0 {
					t.Errorf("cut at %d: half a line was taken", cut)
				}
				_ = l.Close()
				<-served
				s.Close()
			})
		}
	}
}

// Whatever time a caller asks for, it holds its sockets no longer than the
// protocol has a use for.
func TestRequestTimeoutIsBounded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := make(rejectingDispatcher, 1)
	s := New(d, nil, Limits{Sockets: 16})
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	for wait, most := range map[string]time.Duration{"1800": 1800 * time.Millisecond, "4294967": maxRequestTimeout} {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		begun := time.Now()
		fmt.Fprintf(conn, "OPEN a k1 c=feed,d=%s\r\n", wait)
		got := (<-d).Deadline.Sub(begun)
		if got > most+time.Second || got < most-time.Second {
			t.Errorf("d=%s: answered within %v, want about %v", wait, got, most)
		}
		conn.Close()
	}
	l.Close()
	if err := <-served; err != nil {
		t.Error(err)
	}
	s.Close()
}
