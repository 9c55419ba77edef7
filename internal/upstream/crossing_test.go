package upstream

// What comes between two steps of an attempt or a probe: held open by a dial or a next hop
// that waits.

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/bufconn"
	"coralrelay/internal/discovery"
	"coralrelay/internal/lineproto"
	"coralrelay/internal/proxy"
)

// heldDial dials, and hands out the connection once it is let go, whatever has come
// meanwhile: like one that came up late.
type heldDial struct{ dialled, let chan struct{} }

func hold(h *Pool) heldDial {
	d := heldDial{make(chan struct{}), make(chan struct{})}
	h.Dial = func(_ context.Context, addr string, deadline time.Time) (net.Conn, error) {
		conn, err := dial(context.Background(), addr, deadline)
		close(d.dialled)
		<-d.let
		return conn, err
	}
	return d
}

// The caller leaves while the dial is under way, or in the very moment in which it came
// up: not a byte goes to the next hop, and nothing is held against it.
func TestLeaverInTheDial(t *testing.T) {
	for name, prompt := range map[string]bool{"noticed": false, "in the same moment": true} {
		t.Run(name, func(t *testing.T) {
			got := make(chan []byte, 1)
			h, w, _ := start(t, func(conn net.Conn) {
				all, _ := io.ReadAll(conn)
				got <- all
			})
			held := hold(h)
			near, far := net.Pipe()
			o, err := lineproto.ParseConnectRequest([]byte("OPEN a k c=feed,d=2000,g=x"))
			if err != nil {
				t.Fatal(err)
			}
			x := proxy.New(proxy.Request{ID: "a"}, &o, lineproto.Codec{}, w, bufconn.New(near))
			ran := make(chan struct{})
			go func() { defer close(ran); x.Run() }()
			h.StartAttempt(x, 0, "s1", time.Now().Add(patience))
			<-held.dialled
			if prompt {
				x.Fail() // ends the transaction's context without a moment for anybody to close the socket
			} else {
				far.Close()
				<-x.Context().Done()
			}
			close(held.let)
			if end := w.next(t); end.up || end.outcome != balance.Cancelled {
				t.Errorf("told %+v, want cancelled", end)
			}
			if all := <-got; len(all) > 0 {
				t.Errorf("the next hop was sent %q", all)
			}
			far.Close()
			<-ran
		})
	}
}

// A caller that leaves while its branch is out: whatever its closed socket says then, the
// attempt was called off. As a reset or a failed connection it spoke against the next hop.
func TestLeaverWhileOut(t *testing.T) {
	asked := make(chan struct{})
	h, w, _ := start(t, func(conn net.Conn) {
		r := bufio.NewReader(conn)
		r.ReadString('\n')
		close(asked)
		r.ReadByte() // until the branch is closed
	})
	x := transaction(t, w)
	h.StartAttempt(x, 0, "s1", time.Now().Add(patience))
	<-asked
	x.Fail()
	if end := w.next(t); end.outcome != balance.Cancelled {
		t.Errorf("told %+v, want cancelled", end)
	}
}

// A drain is told, or the deadline comes, while the dial is under way: nothing is sent.
func TestOverInTheDial(t *testing.T) {
	leaving := discovery.Endpoint{ServerEntry: balance.ServerEntry{ID: "s1", State: balance.Draining}}
	for name, over := range map[string]func(h *Pool){
		"drains":   func(h *Pool) { h.Update(false, []discovery.Endpoint{leaving}, time.Now().Add(-150*time.Millisecond)) },
		"gone":     func(h *Pool) { h.Update(true, nil, time.Now().Add(-time.Second)) },
		"deadline": func(*Pool) { time.Sleep(time.Second) }, // of the bubble's time
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				h, w := New(ctx, Limits{DrainGrace: 300 * time.Millisecond}), make(watcher, 16)
				h.SetObserver(w)
				h.Update(true, []discovery.Endpoint{{ServerEntry: balance.ServerEntry{ID: "s1"}, Addr: "s1"}}, time.Now())
				near, far := net.Pipe()
				dialled, let := make(chan struct{}), make(chan struct{})
				h.Dial = func(context.Context, string, time.Time) (net.Conn, error) {
					close(dialled)
					<-let
					return near, nil
				}
				h.StartAttempt(transaction(t, w), 0, "s1", time.Now().Add(time.Second))
				<-dialled
				over(h)
				close(let)
				if all, _ := io.ReadAll(far); len(all) > 0 {
					t.Errorf("sent %q", all)
				}
				if end := w.next(t); end.outcome != balance.ConnectFailed {
					t.Errorf("told %+v", end)
				}
				cancel()
			})
		})
	}
}

// A kept connection that its next hop closes while it rests, or on which a second answer
// has come, is not asked again: each question is asked once, and has its own answer.
func TestKeptConnection(t *testing.T) {
	var asked, conns atomic.Int32
	more, came := make(chan string, 1), make(chan struct{})
	h, w, _ := start(t, func(conn net.Conn) {
		conns.Add(1)
		for lines := bufio.NewScanner(conn); lines.Scan(); {
			n := asked.Add(1)
			fmt.Fprintf(conn, "PONG x0=%d\r\n", n)
			switch what := <-more; what {
			case "close":
				conn.Close()
				came <- struct{}{}
				return
			case "":
			default:
				fmt.Fprint(conn, what)
				came <- struct{}{}
			}
		}
	})
	for i, what := range []string{"", "close", "PONG x0=77\r\n", "PON", "", ""} {
		more <- what
		h.Probe("s1")
		if got := w.next(t); got.outcome != balance.OK || got.load.Utilization != float64(i+1) {
			t.Fatalf("probe %d: told %+v", i+1, got)
		}
		if what != "" {
			<-came // on loopback it has arrived when it was written
		}
	}
	if n, c := asked.Load(), conns.Load(); n != 6 || c != 4 {
		t.Errorf("asked %d times over %d connections, want 6 over 4", n, c)
	}
}
