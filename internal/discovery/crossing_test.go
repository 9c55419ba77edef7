package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"coralrelay/balance"
)

const list43 = `{"generation":43,"reset":true,"instances":[` + one + "]}\n"

// barrier is a sink that holds its Watch at what it is told until the test takes it.
type barrier chan Update

func (b barrier) UpdateEndpoints(u Update) { b <- u }

// A move in the middle of whatever is under way: what the old service has said by then is
// all of it that is told, its end is no failure, and the new one is asked once, for all.
func TestMoveMeets(t *testing.T) {
	tests := []struct {
		name   string
		says   string // what the old service says of a call before it is left
		told   []balance.ListKind
		before bool // the move comes between the wish and the call
	}{
		{"a wish, before anything is asked", "", nil, true},
		{"a call", "", nil, false},
		{"a head", head[:30], nil, false},
		{"a list", head + chunked(list43[:60], ""), nil, false},
		{"a watch in mid-line", head + chunked(list43+list43[:60], ""), []balance.ListKind{balance.ListFull}, false},
		{"a back-off", "HTTP/1.1 503 Service Unavailable\r\n\r\n", []balance.ListKind{balance.ListFailed}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			said, left := make(chan struct{}), make(chan struct{})
			old := discovery(t, func(conn net.Conn, _ string) {
				fmt.Fprint(conn, tt.says)
				close(said)
				if len(tt.told) == 0 || tt.told[0] != balance.ListFailed {
					_, _ = io.Copy(io.Discard, conn)
				}
				fmt.Fprint(conn, chunked(list43, ""))
				conn.Close()
				close(left)
			})
			calls := make(chan string, 4)
			again := func(_ net.Conn, request string) { calls <- request }
			next := discovery(t, func(conn net.Conn, request string) {
				calls <- request
				fmt.Fprint(conn, head+chunked(strings.Replace(list43, "43", "7", 1), ""))
				conn.Close()
			}, again)
			s := make(barrier)
			w := New(old, s)
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() { defer close(ended); w.Run(ctx, Update{Generation: 41}) }()
			defer func() { cancel(); <-ended }()
			w.Subscribe()
			if tt.before {
				w.SetAddress(next) // Run still stands at the known list
			}
			<-s
			if !tt.before {
				<-said
				for _, want := range tt.told {
					if u := <-s; u.Kind != want {
						t.Errorf("told %+v, want kind %d", u, want)
					}
				}
				w.SetAddress(next)
			}
			for _, want := range []balance.ListKind{balance.ListFull, balance.ListFailed} {
				if u := <-s; u.Kind != want || u.Generation != 7 {
					t.Errorf("told %+v, want the new service's, kind %d", u, want)
				}
			}
			if !tt.before {
				<-left
			}
			if r := <-calls; !strings.Contains(r, "from=0 ") || len(calls) > 0 {
				t.Errorf("request %q and %d more, want one for all", r, len(calls))
			}
		})
	}
}

// A connection that is reset costs what did not come whole, is told as one failure, and the
// next call asks from behind the last that did.
func TestResets(t *testing.T) {
	for name, tt := range map[string]struct {
		says string
		from string // of the next call
	}{
		"before the head":         {"", "from=41 "},
		"in the head":             {head[:40], "from=41 "},
		"behind the head":         {head, "from=41 "},
		"in the first line":       {head + chunked(list43[:70], ""), "from=41 "},
		"in a chunk":              {head + chunked(list43, "")[:70], "from=41 "},
		"behind a list, no end":   {head + chunked(list43, "")[:len(list43)+3], "from=43 "},
		"in the line behind":      {head + chunked(list43+list43[:70], ""), "from=43 "},
		"in an indented list":     {head + chunked(strings.ReplaceAll(list43, ",", ",\n\t")[:90], ""), "from=41 "},
		"behind an indented list": {head + chunked(strings.ReplaceAll(list43, ",", ",\n\t"), ""), "from=43 "},
	} {
		t.Run(name, func(t *testing.T) {
			whole, requests := make(chan struct{}), make(chan string, 1)
			w, s := start(t, func(conn net.Conn, _ string) {
				fmt.Fprint(conn, tt.says)
				if tt.from == "from=43 " {
					<-whole // a reset may take with it what has not been read
				}
				_ = conn.(*net.TCPConn).SetLinger(0)
				conn.Close()
			}, func(conn net.Conn, request string) { requests <- request; conn.Close() })
			w.Subscribe()
			if tt.from == "from=43 " {
				if u := s.next(t); u.Kind != balance.ListFull || u.Generation != 43 {
					t.Errorf("told %+v, want the list", u)
				}
				close(whole)
			}
			if u := s.next(t); u.Kind != balance.ListFailed {
				t.Errorf("told %+v, want a failure", u)
			}
			w.Subscribe()
			if r := <-requests; !strings.Contains(r, tt.from) {
				t.Errorf("request %q, want one with %s", r, tt.from)
			}
		})
	}
}

// A call that is late is told as failed, and goes on beside the next one, which is made when
// it is asked for. The first whole list wins and the other call ends; a third is not made. A
// call that says nothing but that nothing has changed is not late.
func TestCallBesideLate(t *testing.T) {
	for winner := range 2 {
		synctest.Test(t, func(t *testing.T) {
			s := make(sink, 16)
			w := New("discovery:1", s)
			var conns []net.Conn
			var closed [4]atomic.Bool
			w.Dial = func(context.Context, string, time.Time) (net.Conn, error) {
				near, far := net.Pipe()
				i := len(conns)
				conns = append(conns, far)
				r := bufio.NewReader(far)
				go func() { _, _ = io.Copy(io.Discard, r); closed[i].Store(true) }()
				return near, nil
			}
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() { defer close(ended); w.Run(ctx, Update{Generation: 41}) }()
			ask := func(calls int) {
				t.Helper()
				w.Subscribe()
				synctest.Wait()
				if len(conns) != calls {
					t.Fatalf("%d calls, want %d", len(conns), calls)
				}
			}
			tell := func(kind balance.ListKind, at time.Duration) {
				t.Helper()
				begun := time.Now()
				if u := <-s; u.Kind != kind || time.Since(begun) != at {
					t.Fatalf("told %+v after %v, want kind %d after %v", u, time.Since(begun), kind, at)
				}
			}
			tell(balance.ListCached, 0)
			ask(1)
			_, _ = io.WriteString(conns[0], head+chunked(list43, ""))
			tell(balance.ListFull, 0)
			conns[0].Close()
			tell(balance.ListFailed, 0)
			ask(2)
			ask(2) // it is not late yet
			tell(balance.ListFailed, answered)
			ask(3)
			ask(3) // two are enough
			_, _ = io.WriteString(conns[1+winner], head+chunked(strings.Replace(list43, "43", "44", 1), ""))
			tell(balance.ListFull, 0)
			synctest.Wait()
			if !closed[2-winner].Load() || closed[1+winner].Load() {
				t.Errorf("call %d has won, and the other should end", 1+winner)
			}
			ask(3) // there is a watch
			tell(balance.ListFailed, dead)
			ask(4)
			_, _ = io.WriteString(conns[3], head+chunked("\n", ""))
			for range 3 { // nothing has changed: it is quiet, and not late
				time.Sleep(heartbeat)
				ask(4)
				_, _ = io.WriteString(conns[3], chunked("\n", ""))
			}
			tell(balance.ListFailed, dead)
			cancel()
			<-ended
			for _, c := range conns {
				c.Close()
			}
		})
	}
}
