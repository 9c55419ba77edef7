package discovery

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"coralrelay/balance"
)

// A new watch resumes from the last received generation, and failures of calls are reported.
func TestWatchResumesFromLastGeneration(t *testing.T) {
	requests := make(chan string, 2)
	watcher, sink := startWatcher(t, func(conn net.Conn, request string) {
		requests <- request
		fmt.Fprint(conn, responseHead)
		writeChunk(conn, `{"generation":43,"reset":true,"inst`) // a message may arrive in several chunks
		writeChunk(conn, `ances":[`+readyInstance+"]}\n\n")
		writeChunk(conn, "\n")
		writeChunk(conn, `{"generation":44,"reset":false,"instances":[`+drainingInstance+"]}\n")
		conn.Close()
	}, func(conn net.Conn, request string) {
		requests <- request
		fmt.Fprint(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		conn.Close()
	})
	watcher.Subscribe()
	for _, want := range []balance.ListKind{balance.ListFull, balance.ListDelta, balance.ListFailed} {
		if update := sink.next(t); update.Kind != want {
			t.Fatalf("got %+v, want kind %d", update, want)
		}
	}
	watcher.Subscribe()
	if update := sink.next(t); update.Kind != balance.ListFailed {
		t.Errorf("got %+v after a response with status 503", update)
	}
	for _, from := range []string{"from=41 ", "from=44 "} {
		request := <-requests
		if !strings.HasPrefix(request, "GET /v1/endpoints?watch=1&") || !strings.Contains(request, from) {
			t.Errorf("got request %q, want one with %s", request, from)
		}
	}
}

// SetAddress switches to the new service immediately: the old watch is closed without being
// reported as a failure, and the new service is polled for its complete list, as its generations
// need not be comparable to those of the old service.
func TestSetAddressPollsNewServiceFromZero(t *testing.T) {
	oldConnErrors, requests := make(chan error, 1), make(chan string, 1)
	watcher, sink := startWatcher(t, func(conn net.Conn, _ string) {
		fmt.Fprint(conn, responseHead)
		writeChunk(conn, `{"generation":43,"reset":true,"instances":[]}`+"\n")
		_, err := conn.Read(make([]byte, 1))
		oldConnErrors <- err
	})
	watcher.Subscribe()
	if update := sink.next(t); update.Generation != 43 {
		t.Fatalf("got %+v", update)
	}
	watcher.SetAddress(startFakeDiscovery(t, func(conn net.Conn, request string) {
		requests <- request
		fmt.Fprint(conn, responseHead)
		writeChunk(conn, `{"generation":7,"reset":true,"instances":[`+readyInstance+"]}\n")
	}))
	if update := sink.next(t); update.Kind != balance.ListFull || update.Generation != 7 || len(update.Endpoints) != 1 {
		t.Errorf("got %+v, want the new list", update)
	}
	if request := <-requests; !strings.Contains(request, "from=0 ") {
		t.Errorf("got request %q, want one for the complete list", request)
	}
	if err := <-oldConnErrors; !errors.Is(err, io.EOF) {
		t.Errorf("connection of the old watch: got %v, want EOF", err)
	}
}

// Start times are converted to the local clock if it is an hour ahead of the service's clock or
// behind it. The skew is taken from the Date of the header or, for a local clock that is behind,
// from a start in the future.
func TestStartTimesAreConvertedToLocalClock(t *testing.T) {
	const startedAt = 1796122725 * time.Second // of readyInstance
	serviceNow := time.Unix(0, int64(startedAt)).Add(7 * time.Second)
	dated := strings.Replace(responseHead, "\r\n\r\n", "\r\nDate: "+serviceNow.UTC().Format(http.TimeFormat)+"\r\n\r\n", 1)
	for _, tt := range []struct {
		name, head string
		ahead      time.Duration
		wantAge    time.Duration
	}{
		{"right", responseHead, 0, 7 * time.Second},
		{"right, with a date", dated, 0, 7 * time.Second},
		{"ahead, with a date", dated, time.Hour, 7 * time.Second},
		{"behind, with a date", dated, -time.Hour, 7 * time.Second},
		{"behind", responseHead, -time.Hour, 0},
	} {
		now := serviceNow.Add(tt.ahead)
		addr := startFakeDiscovery(t, func(conn net.Conn, _ string) {
			fmt.Fprint(conn, tt.head)
			writeChunk(conn, `{"generation":43,"reset":true,"instances":[`+readyInstance+"]}\n")
			_, _ = conn.Read(make([]byte, 1))
		})
		sink := make(bufferedSink, 16)
		watcher := New(addr, sink)
		watcher.Now = func() time.Time { return now }
		stop := runWatcher(t.Context(), watcher)
		sink.next(t) // the cached list
		watcher.Subscribe()
		update := sink.next(t)
		age := now.Sub(time.Unix(0, int64(update.Endpoints[0].StartedAt)))
		if age != tt.wantAge {
			t.Errorf("%s: the endpoint started %v ago, want %v", tt.name, age, tt.wantAge)
		}
		stop()
	}
}
