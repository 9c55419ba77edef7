package discovery

import (
	"fmt"
	"net"
	"testing"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/listlease"
)

// Status and CallCount show which list a node has, when it was last confirmed, and how its calls
// ended.
func TestStatusAndCallCounts(t *testing.T) {
	watcher, sink := startWatcher(t, func(conn net.Conn, _ string) {
		fmt.Fprint(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		conn.Close()
	}, func(conn net.Conn, _ string) {
		fmt.Fprint(conn, responseHead)
		writeChunk(conn, fullList43[:40])
		conn.Close()
	}, func(conn net.Conn, _ string) {
		fmt.Fprint(conn, responseHead)
		writeChunk(conn, `{"generation":43,"reset":true}`+"\n")
		_, _ = conn.Read(make([]byte, 1))
	}, func(conn net.Conn, _ string) {
		fmt.Fprint(conn, responseHead)
		writeChunk(conn, fullList43)
		conn.Close()
	})
	if status := watcher.Status(); status.Generation != 41 || status.Age(time.Now()) != listlease.NeverConfirmed {
		t.Errorf("before the first call: %+v", status)
	}
	for range 4 {
		watcher.Subscribe()
		for sink.next(t).Kind != balance.ListFailed {
			continue
		}
	}
	if status := watcher.Status(); status.Generation != 43 || status.Age(time.Now()) > testTimeout {
		t.Errorf("after a list: %+v", status)
	}
	for _, outcome := range []listlease.Outcome{
		listlease.Unavailable, listlease.Incomplete, listlease.Unusable, listlease.WatchEnded,
	} {
		if got := watcher.CallCount(outcome); got != 1 {
			t.Errorf("%d calls ended as %v, want 1", got, outcome)
		}
	}
}
