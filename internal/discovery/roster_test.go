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

const patience = 10 * time.Second // no test waits this long unless it fails

const (
	one = `{"instanceId":"s1","hostPort":"127.1.0.1:7070","zone":"a","machineType":"m","cell":3,"lifecycle":"active","weight":1.5,"startedAtMs":1796122725000}`
	two = `{"instanceId":"s2","hostPort":"127.1.0.2:7070","zone":"b","lifecycle":"leaving","weight":1,"startedAtMs":0}`
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
		{"whole list", `{"generation":41,"reset":true,"instances":[` + one + "," + two + `]}`, Update{balance.ListFull, 41, []Endpoint{s1, s2}}},
		{"changes", `{"generation":42,"instances":[{"instanceId":"s3","lifecycle":"left"}]}`, Update{balance.ListDelta, 42, []Endpoint{gone}}},
		{"changes with every field", `{"generation":42,"reset":false,"instances":[` + one + "," + two + `,{"instanceId":"s3","hostPort":"127.1.0.3:7070",` +
			`"zone":"c","machineType":"m","cell":4,"lifecycle":"left","weight":2,"startedAtMs":7}]}`,
			Update{balance.ListDelta, 42, []Endpoint{s1, s2, {Addr: "127.1.0.3:7070", ServerEntry: balance.ServerEntry{ID: "s3", Zone: "c", Cell: 4,
				State: balance.Gone, StartedAt: 7 * time.Millisecond}}}}},
		{"nothing", `{"generation":42,"reset":false,"instances":[]}`, Update{balance.ListDelta, 42, nil}},
		{"unknown lifecycle", `{"generation":43,"instances":[{"instanceId":"s9","hostPort":"h:1","lifecycle":"asleep"},` + two + `]}`, Update{balance.ListDelta, 43, []Endpoint{s2}}},
		{"no id", `{"generation":43,"instances":[{"hostPort":"h:1","lifecycle":"active"},` + two + `]}`, Update{balance.ListDelta, 43, []Endpoint{s2}}},
		{"no address", `{"generation":43,"instances":[{"instanceId":"s9","hostPort":"h","lifecycle":"active"},` + two + `]}`, Update{balance.ListDelta, 43, []Endpoint{s2}}},
		{"no object", `{"generation":43,"instances":[7,null,"x",` + two + `]}`, Update{balance.ListDelta, 43, []Endpoint{s2}}},
		{"wrong type", `{"generation":43,"instances":[{"instanceId":"s9","hostPort":"h:1","lifecycle":"active","cell":"x"},` + two + `]}`, Update{balance.ListDelta, 43, []Endpoint{s2}}},
		{"leaves, without an address", `{"generation":43,"instances":[{"instanceId":"s9","lifecycle":"leaving"},` + two + `]}`, Update{balance.ListDelta, 43, []Endpoint{s9, s2}}},
		{"leaves, wrong type", `{"generation":43,"instances":[{"instanceId":"s9","lifecycle":"leaving","cell":"x"},` + two + `]}`, Update{balance.ListDelta, 43, []Endpoint{s9, s2}}},
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

type sink chan Update

func (s sink) UpdateEndpoints(u Update) { s <- u }

func (s sink) next(t *testing.T) Update {
	t.Helper()
	select {
	case u := <-s:
		return u
	case <-time.After(patience):
		t.Fatal("no update came")
		return Update{}
	}
}

// discovery answers its calls one by one.
func discovery(t *testing.T, calls ...func(conn net.Conn, request string)) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for _, serve := range calls {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			request, _ := bufio.NewReader(conn).ReadString('\n')
			serve(conn, request)
		}
	}()
	return l.Addr().String()
}

// start runs a Watch against a discovery that answers its calls one by one.
func start(t *testing.T, calls ...func(conn net.Conn, request string)) (*Watcher, sink) {
	t.Helper()
	addr := discovery(t, calls...)
	s := make(sink, 16)
	w := New(addr, s)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); w.Run(ctx, Update{Generation: 41}) }()
	t.Cleanup(func() { cancel(); <-ended })
	if u := s.next(t); u.Kind != balance.ListCached || u.Generation != 41 {
		t.Errorf("first of all came %+v, want the known list", u)
	}
	return w, s
}

const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(conn net.Conn, text string) { fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text) }

// A watch resumes from the last generation that it saw; its failures are told.
func TestWatchResumes(t *testing.T) {
	requests := make(chan string, 2)
	w, s := start(t, func(conn net.Conn, request string) {
		requests <- request
		fmt.Fprint(conn, head)
		chunk(conn, `{"generation":43,"reset":true,"inst`) // a message may come in pieces
		chunk(conn, `ances":[`+one+"]}\n\n")
		chunk(conn, "\n")
		chunk(conn, `{"generation":44,"reset":false,"instances":[`+two+"]}\n")
		conn.Close()
	}, func(conn net.Conn, request string) {
		requests <- request
		fmt.Fprint(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		conn.Close()
	})
	w.Subscribe()
	for _, want := range []balance.ListKind{balance.ListFull, balance.ListDelta, balance.ListFailed} {
		if u := s.next(t); u.Kind != want {
			t.Fatalf("got %+v, want kind %d", u, want)
		}
	}
	w.Subscribe()
	if u := s.next(t); u.Kind != balance.ListFailed {
		t.Errorf("after a 503 came %+v", u)
	}
	for _, from := range []string{"from=41 ", "from=44 "} {
		if r := <-requests; !strings.HasPrefix(r, "GET /v1/endpoints?watch=1&") || !strings.Contains(r, from) {
			t.Errorf("request %q, want one with %s", r, from)
		}
	}
}

// Another discovery is followed at once: the old watch is dropped without a word
// of failure, and the new one is asked for all it has, as its generations need
// not be the old one's.
func TestFollow(t *testing.T) {
	dropped, requests := make(chan error, 1), make(chan string, 1)
	w, s := start(t, func(conn net.Conn, _ string) {
		fmt.Fprint(conn, head)
		chunk(conn, `{"generation":43,"reset":true,"instances":[]}`+"\n")
		_, err := conn.Read(make([]byte, 1))
		dropped <- err
	})
	w.Subscribe()
	if u := s.next(t); u.Generation != 43 {
		t.Fatalf("got %+v", u)
	}
	w.SetAddress(discovery(t, func(conn net.Conn, request string) {
		requests <- request
		fmt.Fprint(conn, head)
		chunk(conn, `{"generation":7,"reset":true,"instances":[`+one+"]}\n")
	}))
	if u := s.next(t); u.Kind != balance.ListFull || u.Generation != 7 || len(u.Endpoints) != 1 {
		t.Errorf("got %+v, want the new list", u)
	}
	if r := <-requests; !strings.Contains(r, "from=0 ") {
		t.Errorf("request %q, want one for all", r)
	}
	if err := <-dropped; err != io.EOF {
		t.Errorf("the old watch's connection: %v, want its end", err)
	}
}
