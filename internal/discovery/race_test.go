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

const fullList43 = `{"generation":43,"reset":true,"instances":[` + readyInstance + "]}\n"

// barrier is a sink that holds its Watch at what it is told until the test takes it.
type unbufferedSink chan Update

func (b unbufferedSink) UpdateEndpoints(u Update) { b <- u }

// A move in the middle of whatever is under way: what the old service has said by then is
// all of it that is told, its end is no failure, and the new one is asked once, for all.
func TestAddressChangeReplacesWhateverIsUnderWay(t *testing.T) {
	tests := []struct {
		name   string
		says   string // what the old service says of a call before it is left
		told   []balance.ListKind
		before bool // the move comes between the wish and the call
	}{
		{"a wish, before anything is asked", "", nil, true},
		{"a call", "", nil, false},
		{"a head", responseHead[:30], nil, false},
		{"a list", responseHead + chunked(fullList43[:60], ""), nil, false},
		{"a watch in mid-line", responseHead + chunked(fullList43+fullList43[:60], ""), []balance.ListKind{balance.ListFull}, false},
		{"a back-off", "HTTP/1.1 503 Service Unavailable\r\n\r\n", []balance.ListKind{balance.ListFailed}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			responded, oldCallEnded := make(chan struct{}), make(chan struct{})
			oldAddr := startFakeDiscovery(t, func(conn net.Conn, _ string) {
				fmt.Fprint(conn, tt.says)
				close(responded)
				if len(tt.told) == 0 || tt.told[0] != balance.ListFailed {
					_, _ = io.Copy(io.Discard, conn)
				}
				fmt.Fprint(conn, chunked(fullList43, ""))
				conn.Close()
				close(oldCallEnded)
			})
			calls := make(chan string, 4)
			countCall := func(_ net.Conn, request string) { calls <- request }
			newAddr := startFakeDiscovery(t, func(conn net.Conn, request string) {
				calls <- request
				fmt.Fprint(conn, responseHead+chunked(strings.Replace(fullList43, "43", "7", 1), ""))
				conn.Close()
			}, countCall)
			sink := make(unbufferedSink)
			watcher := New(oldAddr, sink)
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() { defer close(ended); watcher.Run(ctx, Update{Generation: 41}) }()
			defer func() { cancel(); <-ended }()
			watcher.Subscribe()
			if tt.before {
				watcher.SetAddress(newAddr) // Run still stands at the known list
			}
			<-sink
			if !tt.before {
				<-responded
				for _, want := range tt.told {
					if update := <-sink; update.Kind != want {
						t.Errorf("told %+v, want kind %d", update, want)
					}
				}
				watcher.SetAddress(newAddr)
			}
			for _, want := range []balance.ListKind{balance.ListFull, balance.ListFailed} {
				if update := <-sink; update.Kind != want || update.Generation != 7 {
					t.Errorf("told %+v, want the new service's, kind %d", update, want)
				}
			}
			if !tt.before {
				<-oldCallEnded
			}
			if request := <-calls; !strings.Contains(request, "from=0 ") || len(calls) > 0 {
				t.Errorf("request %q and %d more, want one for all", request, len(calls))
			}
		})
	}
}

// A connection that is reset costs what did not come whole, is told as one failure, and the
// next call asks from behind the last that did.
func TestConnectionResetResumesAfterLastCompleteList(t *testing.T) {
	for name, tt := range map[string]struct {
		says string
		from string // of the next call
	}{
		"before the head":         {"", "from=41 "},
		"in the head":             {responseHead[:40], "from=41 "},
		"behind the head":         {responseHead, "from=41 "},
		"in the first line":       {responseHead + chunked(fullList43[:70], ""), "from=41 "},
		"in a chunk":              {responseHead + chunked(fullList43, "")[:70], "from=41 "},
		"behind a list, no end":   {responseHead + chunked(fullList43, "")[:len(fullList43)+3], "from=43 "},
		"in the line behind":      {responseHead + chunked(fullList43+fullList43[:70], ""), "from=43 "},
		"in an indented list":     {responseHead + chunked(strings.ReplaceAll(fullList43, ",", ",\n\t")[:90], ""), "from=41 "},
		"behind an indented list": {responseHead + chunked(strings.ReplaceAll(fullList43, ",", ",\n\t"), ""), "from=43 "},
	} {
		t.Run(name, func(t *testing.T) {
			listReceived, requests := make(chan struct{}), make(chan string, 1)
			watcher, sink := startWatcher(t, func(conn net.Conn, _ string) {
				fmt.Fprint(conn, tt.says)
				if tt.from == "from=43 " {
					<-listReceived // a reset may take with it what has not been read
				}
				_ = conn.(*net.TCPConn).SetLinger(0)
				conn.Close()
			}, func(conn net.Conn, request string) { requests <- request; conn.Close() })
			watcher.Subscribe()
			if tt.from == "from=43 " {
				if update := sink.next(t); update.Kind != balance.ListFull || update.Generation != 43 {
					t.Errorf("told %+v, want the list", update)
				}
				close(listReceived)
			}
			if update := sink.next(t); update.Kind != balance.ListFailed {
				t.Errorf("told %+v, want a failure", update)
			}
			watcher.Subscribe()
			if request := <-requests; !strings.Contains(request, tt.from) {
				t.Errorf("request %q, want one with %s", request, tt.from)
			}
		})
	}
}

// A call that is late is told as failed, and goes on beside the next one, which is made when
// it is asked for. The first whole list wins and the other call ends; a third is not made. A
// call that says nothing but that nothing has changed is not late.
func TestOverdueCallCompetesWithItsSuccessor(t *testing.T) {
	for winner := range 2 {
		synctest.Test(t, func(t *testing.T) {
			sink := make(bufferedSink, 16)
			watcher := New("discovery:1", sink)
			var conns []net.Conn
			var closed [4]atomic.Bool
			watcher.Dial = func(context.Context, string, time.Time) (net.Conn, error) {
				watcherSide, serviceSide := net.Pipe()
				i := len(conns)
				conns = append(conns, serviceSide)
				reader := bufio.NewReader(serviceSide)
				go func() { _, _ = io.Copy(io.Discard, reader); closed[i].Store(true) }()
				return watcherSide, nil
			}
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() { defer close(ended); watcher.Run(ctx, Update{Generation: 41}) }()
			poll := func(calls int) {
				t.Helper()
				watcher.Subscribe()
				synctest.Wait()
				if len(conns) != calls {
					t.Fatalf("%d calls, want %d", len(conns), calls)
				}
			}
			expect := func(kind balance.ListKind, after time.Duration) {
				t.Helper()
				startedAt := time.Now()
				if update := <-sink; update.Kind != kind || time.Since(startedAt) != after {
					t.Fatalf("told %+v after %v, want kind %d after %v", update, time.Since(startedAt), kind, after)
				}
			}
			expect(balance.ListCached, 0)
			poll(1)
			_, _ = io.WriteString(conns[0], responseHead+chunked(fullList43, ""))
			expect(balance.ListFull, 0)
			conns[0].Close()
			expect(balance.ListFailed, 0)
			poll(2)
			poll(2) // it is not late yet
			expect(balance.ListFailed, responseTimeout)
			poll(3)
			poll(3) // two are enough
			_, _ = io.WriteString(conns[1+winner], responseHead+chunked(strings.Replace(fullList43, "43", "44", 1), ""))
			expect(balance.ListFull, 0)
			synctest.Wait()
			if !closed[2-winner].Load() || closed[1+winner].Load() {
				t.Errorf("call %d has won, and the other should end", 1+winner)
			}
			poll(3) // there is a watch
			expect(balance.ListFailed, heartbeatTimeout)
			poll(4)
			_, _ = io.WriteString(conns[3], responseHead+chunked("\n", ""))
			for range 3 { // nothing has changed: it is quiet, and not late
				time.Sleep(heartbeatInterval)
				poll(4)
				_, _ = io.WriteString(conns[3], chunked("\n", ""))
			}
			expect(balance.ListFailed, heartbeatTimeout)
			cancel()
			<-ended
			for _, c := range conns {
				c.Close()
			}
		})
	}
}
