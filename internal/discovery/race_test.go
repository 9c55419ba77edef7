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

// The address changes while a call is in any stage. Only the updates that the old service has sent
// by then are reported, the end of the old call is not reported as a failure, and the new service
// is polled once, for its complete list.
func TestAddressChangeReplacesOngoingCall(t *testing.T) {
	tests := []struct {
		name       string
		response   string // what the old service sends before the address changes
		want       []balance.ListKind
		beforeCall bool // the address changes between the poll request and the call
	}{
		{"poll requested, before the call", "", nil, true},
		{"call without a response", "", nil, false},
		{"incomplete header", responseHead[:30], nil, false},
		{"incomplete list", responseHead + chunked(fullList43[:60], ""), nil, false},
		{"incomplete second list", responseHead + chunked(fullList43+fullList43[:60], ""), []balance.ListKind{balance.ListFull}, false},
		{"backoff after a failure", "HTTP/1.1 503 Service Unavailable\r\n\r\n", []balance.ListKind{balance.ListFailed}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			responded, oldCallEnded := make(chan struct{}), make(chan struct{})
			oldAddr := startFakeDiscovery(t, func(conn net.Conn, _ string) {
				fmt.Fprint(conn, tt.response)
				close(responded)
				if len(tt.want) == 0 || tt.want[0] != balance.ListFailed {
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
			defer runWatcher(t.Context(), watcher)()
			watcher.Subscribe()
			if tt.beforeCall {
				watcher.SetAddress(newAddr) // Run is still blocked on the cached list
			}
			<-sink
			if !tt.beforeCall {
				<-responded
				for _, want := range tt.want {
					if update := <-sink; update.Kind != want {
						t.Errorf("got %+v, want kind %d", update, want)
					}
				}
				watcher.SetAddress(newAddr)
			}
			for _, want := range []balance.ListKind{balance.ListFull, balance.ListFailed} {
				if update := <-sink; update.Kind != want || update.Generation != 7 {
					t.Errorf("got %+v, want kind %d from the new service", update, want)
				}
			}
			if !tt.beforeCall {
				<-oldCallEnded
			}
			if request := <-calls; !strings.Contains(request, "from=0 ") || len(calls) > 0 {
				t.Errorf("got request %q and %d more, want one for the complete list", request, len(calls))
			}
		})
	}
}

// A connection reset loses only the incomplete message, is reported as one failure, and the next
// call resumes after the last complete message.
func TestConnectionResetResumesAfterLastCompleteList(t *testing.T) {
	indentedList43 := strings.ReplaceAll(fullList43, ",", ",\n\t")
	for name, tt := range map[string]struct {
		response string
		from     string // of the next call
	}{
		"before the header":      {"", "from=41 "},
		"in the header":          {responseHead[:40], "from=41 "},
		"after the header":       {responseHead, "from=41 "},
		"in the first line":      {responseHead + chunked(fullList43[:70], ""), "from=41 "},
		"in a chunk":             {responseHead + chunked(fullList43, "")[:70], "from=41 "},
		"after a list, no end":   {responseHead + chunked(fullList43, "")[:len(fullList43)+3], "from=43 "},
		"in the next line":       {responseHead + chunked(fullList43+fullList43[:70], ""), "from=43 "},
		"in an indented list":    {responseHead + chunked(indentedList43[:90], ""), "from=41 "},
		"after an indented list": {responseHead + chunked(indentedList43, ""), "from=43 "},
	} {
		t.Run(name, func(t *testing.T) {
			listReceived, requests := make(chan struct{}), make(chan string, 1)
			watcher, sink := startWatcher(t, func(conn net.Conn, _ string) {
				fmt.Fprint(conn, tt.response)
				if tt.from == "from=43 " {
					<-listReceived // a reset may discard data that has not been read
				}
				_ = conn.(*net.TCPConn).SetLinger(0)
				conn.Close()
			}, func(conn net.Conn, request string) { requests <- request; conn.Close() })
			watcher.Subscribe()
			if tt.from == "from=43 " {
				if update := sink.next(t); update.Kind != balance.ListFull || update.Generation != 43 {
					t.Errorf("got %+v, want the list", update)
				}
				close(listReceived)
			}
			if update := sink.next(t); update.Kind != balance.ListFailed {
				t.Errorf("got %+v, want a failure", update)
			}
			watcher.Subscribe()
			if request := <-requests; !strings.Contains(request, tt.from) {
				t.Errorf("got request %q, want one with %s", request, tt.from)
			}
		})
	}
}

// An overdue call is reported as failed and goes on in parallel with the next call, which starts
// when it is requested. The first complete list wins, and the other call is cancelled. There is no
// third call. A call that receives only heartbeats is not overdue.
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
			stop := runWatcher(t.Context(), watcher)
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
					t.Fatalf("got %+v after %v, want kind %d after %v", update, time.Since(startedAt), kind, after)
				}
			}
			expect(balance.ListCached, 0)
			poll(1)
			_, _ = io.WriteString(conns[0], responseHead+chunked(fullList43, ""))
			expect(balance.ListFull, 0)
			conns[0].Close()
			expect(balance.ListFailed, 0)
			poll(2)
			poll(2) // it is not overdue yet
			expect(balance.ListFailed, responseTimeout)
			poll(3)
			poll(3) // at most two calls at a time
			_, _ = io.WriteString(conns[1+winner], responseHead+chunked(strings.Replace(fullList43, "43", "44", 1), ""))
			expect(balance.ListFull, 0)
			synctest.Wait()
			if !closed[2-winner].Load() || closed[1+winner].Load() {
				t.Errorf("call %d has won: it should stay open, and the other one should end", 1+winner)
			}
			poll(3) // a watch is open
			expect(balance.ListFailed, heartbeatTimeout)
			poll(4)
			_, _ = io.WriteString(conns[3], responseHead+chunked("\n", ""))
			for range 3 { // nothing has changed: only heartbeats arrive, and the call is not overdue
				time.Sleep(heartbeatInterval)
				poll(4)
				_, _ = io.WriteString(conns[3], chunked("\n", ""))
			}
			expect(balance.ListFailed, heartbeatTimeout)
			stop()
			for _, c := range conns {
				c.Close()
			}
		})
	}
}
