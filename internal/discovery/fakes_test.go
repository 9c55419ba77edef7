package discovery

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"coralrelay/balance"
)

const testTimeout = 10 * time.Second // reached only by a test that fails

// unbufferedSink is a Sink that blocks the Watcher at each update until the test receives it.
type unbufferedSink chan Update

func (s unbufferedSink) UpdateEndpoints(u Update) { s <- u }

// bufferedSink is a Sink that accepts updates without blocking.
type bufferedSink chan Update

func (s bufferedSink) UpdateEndpoints(u Update) { s <- u }

// next waits for the next update and fails the test if none arrives.
func (s bufferedSink) next(t *testing.T) Update {
	t.Helper()
	select {
	case u := <-s:
		return u
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting for an update")
		return Update{}
	}
}

// startFakeDiscovery starts a discovery service that handles its calls one by one, each with its
// function.
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

// runWatcher runs a Watcher with a cached list of generation 41 until stop is called.
func runWatcher(ctx context.Context, watcher *Watcher) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() { defer close(ended); watcher.Run(ctx, Update{Generation: 41}) }()
	return func() { cancel(); <-ended }
}

// startWatcher runs a Watcher that follows a fake discovery service until the test ends.
func startWatcher(t *testing.T, calls ...func(conn net.Conn, request string)) (*Watcher, bufferedSink) {
	t.Helper()
	addr := startFakeDiscovery(t, calls...)
	sink := make(bufferedSink, 16)
	watcher := New(addr, sink)
	t.Cleanup(runWatcher(context.Background(), watcher))
	if update := sink.next(t); update.Kind != balance.ListCached || update.Generation != 41 {
		t.Errorf("got first update %+v, want the cached list", update)
	}
	return watcher, sink
}

const responseHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"

// writeChunk writes a chunk of a response body.
func writeChunk(conn net.Conn, text string) { fmt.Fprint(conn, chunked(text, "")) }

// chunked returns a chunk of a response body, with a chunk extension, which may be empty.
func chunked(text string, extension string) string {
	return fmt.Sprintf("%x%s\r\n%s\r\n", len(text), extension, text)
}
