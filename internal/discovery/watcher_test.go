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

// A watch resumes from the last generation that it received; its failures are reported.
func TestWatchResumesFromLastGeneration(t *testing.T) {
	requests := make(chan string, 2)
	watcher, sink := startWatcher(t, func(conn net.Conn, request string) {
		requests <- request
		fmt.Fprint(conn, responseHead)
		writeChunk(conn, `{"generation":43,"reset":true,"inst`) // a message may come in several chunks
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
		t.Errorf("after a 503 came %+v", update)
	}
	for _, from := range []string{"from=41 ", "from=44 "} {
		request := <-requests
		if !strings.HasPrefix(request, "GET /v1/endpoints?watch=1&") || !strings.Contains(request, from) {
			t.Errorf("request %q, want one with %s", request, from)
		}
	}
}

// Another service is followed at once: the old watch is closed, which is not reported as a
// failure, and the new service is polled for its complete list, as its generations need not be
// comparable to the old one's.
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
		t.Errorf("request %q, want one for the complete list", request)
	}
	if err := <-oldConnErrors; !errors.Is(err, io.EOF) {
		t.Errorf("the old watch's connection: %v, want its end", err)
	}
}

// A process whose clock is an hour ahead of the service's, or behind, dates starts by its own clock: by
// the header's date, or, behind, by a start in its future.
func TestStartsAreConvertedToThisProcessesClock(t *testing.T) {
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
		end := runWatcher(t.Context(), watcher)
		sink.next(t) // the cached list
		watcher.Subscribe()
		update := sink.next(t)
		age := now.Sub(time.Unix(0, int64(update.Endpoints[0].StartedAt)))
		if age != tt.wantAge {
			t.Errorf("%s: the endpoint has run for %v, want %v", tt.name, age, tt.wantAge)
		}
		end()
	}
}
