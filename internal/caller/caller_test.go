package caller

import (
	"fmt"
	"net"
	"testing"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/decide"
	"coralrelay/internal/exchange"
)

// decider keeps what is submitted, and refuses it.
type decider chan *exchange.Transaction

func (d decider) Submit(item decide.Item, _ decide.Branches) {
	d <- item.(*exchange.Transaction)
	item.Refuse(0)
}

func (decider) Adopt(decide.Item, string) bool     { return true }
func (decider) CallerGone(decide.Item)             {}
func (decider) Ended(decide.Item, balance.Outcome) {}

// Whatever time a caller asks for, it holds its sockets no longer than the
// protocol has a use for.
func TestDeadlineIsBounded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := make(decider, 1)
	s := New(d, nil, Limits{Sockets: 16})
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	for wait, most := range map[string]time.Duration{"1800": 1800 * time.Millisecond, "4294967": longestWait} {
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
