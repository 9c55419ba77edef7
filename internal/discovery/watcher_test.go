package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"reflect"
	"strings"
	"testing"
	"time"

	"coralrelay/balance"
)

const testTimeout = 10 * time.Second // no test waits this long unless it fails

const (
	readyInstance    = `{"instanceId":"s1","hostPort":"127.1.0.1:7070","zone":"a","machineType":"m","cell":3,"lifecycle":"active","weight":1.5,"startedAtMs":1796122725000}`
	drainingInstance = `{"instanceId":"s2","hostPort":"127.1.0.2:7070","zone":"b","lifecycle":"leaving","weight":1,"startedAtMs":0}`
)

func TestDecode(t *testing.T) {
	s1 := Endpoint{Addr: "127.1.0.1:7070", ServerEntry: balance.ServerEntry{ID: "s1", Zone: "a", Cell: 3,
		StartedAt: 1796122725 * time.Second}}
	s2 := Endpoint{Addr: "127.1.0.2:7070", ServerEntry: balance.ServerEntry{ID: "s2", Zone: "b", State: balance.Draining}}
	gone := Endpoint{ServerEntry: balance.ServerEntry{ID: "s3", State: balance.Gone}}
	s9 := Endpoint{ServerEntry: balance.ServerEntry{ID: "s9", State: balance.Draining}}
	tests := []struct {
		name, raw string
		want      Update // no generation: malformed as a whole
	}{
		{"whole list", `{"generation":41,"reset":true,"instances":[` + readyInstance + "," + drainingInstance + `]}`, Update{balance.ListFull, 41, []Endpoint{s1, s2}}},
		{"changes", `{"generation":42,"instances":[{"instanceId":"s3","lifecycle":"left"}]}`, Update{balance.ListDelta, 42, []Endpoint{gone}}},
		{"changes with every field", `{"generation":42,"reset":false,"instances":[` + readyInstance + "," + drainingInstance + `,{"instanceId":"s3","hostPort":"127.1.0.3:7070",` +
			`"zone":"c","machineType":"m","cell":4,"lifecycle":"left","weight":2,"startedAtMs":7}]}`,
			Update{balance.ListDelta, 42, []Endpoint{s1, s2, {Addr: "127.1.0.3:7070", ServerEntry: balance.ServerEntry{ID: "s3", Zone: "c", Cell: 4,
				State: balance.Gone, StartedAt: 7 * time.Millisecond}}}}},
		{"nothing", `{"generation":42,"reset":false,"instances":[]}`, Update{balance.ListDelta, 42, nil}},
		{"unknown lifecycle", `{"generation":43,"instances":[{"instanceId":"s9","hostPort":"h:1","lifecycle":"asleep"},` + drainingInstance + `]}`, Update{balance.ListDelta, 43, []Endpoint{s2}}},
		{"no id", `{"generation":43,"instances":[{"hostPort":"h:1","lifecycle":"active"},` + drainingInstance + `]}`, Update{balance.ListDelta, 43, []Endpoint{s2}}},
		{"no address", `{"generation":43,"instances":[{"instanceId":"s9","hostPort":"h","lifecycle":"active"},` + drainingInstance + `]}`, Update{balance.ListDelta, 43, []Endpoint{s2}}},
		{"no object", `{"generation":43,"instances":[7,null,"x",` + drainingInstance + `]}`, Update{balance.ListDelta, 43, []Endpoint{s2}}},
		{"wrong type", `{"generation":43,"instances":[{"instanceId":"s9","hostPort":"h:1","lifecycle":"active","cell":"x"},` + drainingInstance + `]}`, Update{balance.ListDelta, 43, []Endpoint{s2}}},
		{"leaves, without an address", `{"generation":43,"instances":[{"instanceId":"s9","lifecycle":"leaving"},` + drainingInstance + `]}`, Update{balance.ListDelta, 43, []Endpoint{s9, s2}}},
		{"leaves, wrong type", `{"generation":43,"instances":[{"instanceId":"s9","lifecycle":"leaving","cell":"x"},` + drainingInstance + `]}`, Update{balance.ListDelta, 43, []Endpoint{s9, s2}}},
		{"no generation", `{"instances":[]}`, Update{}},
		{"whole list without instances", `{"generation":44,"reset":true}`, Update{}},
		{"no JSON", `{`, Update{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := Decode([]byte(tt.raw))
			if (err == nil) != (tt.want.Generation != 0) || err == nil && !reflect.DeepEqual(got, tt.want) {
				t.Errorf("got %+v, %v\nwant %+v", got, err, tt.want)
			}
		})
	}
}

type bufferedSink chan Update

func (s bufferedSink) UpdateEndpoints(u Update) { s <- u }

func (s bufferedSink) next(t *testing.T) Update {
	t.Helper()
	select {
	case u := <-s:
		return u
	case <-time.After(testTimeout):
		t.Fatal("no update came")
		return Update{}
	}
}

// discovery answers its calls one by one.
func startFakeDiscovery(t *testing.T, calls ...func(conn net.Conn, request string)) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for _, serve := range calls {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			request, _ := bufio.NewReader(conn).ReadString('\n')
			serve(conn, request)
		}
	}()
	return listener.Addr().String()
}

// start runs a Watch against a discovery that answers its calls one by one.
func startWatcher(t *testing.T, calls ...func(conn net.Conn, request string)) (*Watcher, bufferedSink) {
	t.Helper()
	addr := startFakeDiscovery(t, calls...)
	sink := make(bufferedSink, 16)
	watcher := New(addr, sink)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); watcher.Run(ctx, Update{Generation: 41}) }()
	t.Cleanup(func() { cancel(); <-ended })
	if update := sink.next(t); update.Kind != balance.ListCached || update.Generation != 41 {
		t.Errorf("first of all came %+v, want the known list", update)
	}
	return watcher, sink
}

const responseHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"

func writeChunk(conn net.Conn, text string) { fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text) }

// A watch resumes from the last generation that it saw; its failures are told.
func TestWatchResumesFromLastGeneration(t *testing.T) {
	requests := make(chan string, 2)
	watcher, sink := startWatcher(t, func(conn net.Conn, request string) {
		requests <- request
		fmt.Fprint(conn, responseHead)
		writeChunk(conn, `{"generation":43,"reset":true,"inst`) // a message may come in pieces
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
		if request := <-requests; !strings.HasPrefix(request, "GET /v1/endpoints?watch=1&") || !strings.Contains(request, from) {
			t.Errorf("request %q, want one with %s", request, from)
		}
	}
}

// Another discovery is followed at once: the old watch is dropped without a word
// of failure, and the new one is asked for all it has, as its generations need
// not be the old one's.
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
		t.Errorf("request %q, want one for all", request)
	}
	if err := <-oldConnErrors; err != io.EOF {
		t.Errorf("the old watch's connection: %v, want its end", err)
	}
}
