package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"coralrelay/internal/testsocket"
)

const (
	fleetNodes     = 24
	callDuration   = 25 * time.Millisecond // the time discovery takes to answer a call
	outageDuration = 8 * time.Second
	watchHeartbeat = 2 * time.Second
)

// queuedDiscovery answers one call at a time with its list. Each connection then stays open as a watch.
type queuedDiscovery struct {
	list   string
	callMu sync.Mutex // held while a call is answered
	isDown atomic.Bool

	mu       sync.Mutex
	watches  map[net.Conn]struct{}
	listedAt []time.Time // when each list was written
}

func (d *queuedDiscovery) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	if _, err := reader.ReadString('\n'); err != nil {
		return
	}
	if d.isDown.Load() {
		fmt.Fprint(conn, unavailable)
		return
	}
	d.callMu.Lock()
	time.Sleep(callDuration) // simulates the cost of a call
	d.callMu.Unlock()
	fmt.Fprint(conn, okHead+d.list+"\n")
	d.mu.Lock()
	d.watches[conn] = struct{}{}
	d.listedAt = append(d.listedAt, time.Now())
	d.mu.Unlock()
	ended := make(chan struct{})
	go func() { _, _ = io.Copy(io.Discard, reader); close(ended) }()
	for {
		select {
		case <-ended:
			return
		case <-time.After(watchHeartbeat):
			fmt.Fprint(conn, "\n")
		}
	}
}

// takeDown ends all watches; calls are answered with 503 from now on.
func (d *queuedDiscovery) takeDown() {
	d.isDown.Store(true)
	d.mu.Lock()
	defer d.mu.Unlock()
	for conn := range d.watches {
		_ = conn.Close()
	}
	clear(d.watches)
	d.listedAt = nil
}

// awaitLists waits until count lists have been written, and returns how long after the time since each of
// them was written, in order.
func (d *queuedDiscovery) awaitLists(t *testing.T, count int, since time.Time) (took []time.Duration) {
	t.Helper()
	for start := time.Now(); ; time.Sleep(time.Millisecond) {
		d.mu.Lock()
		listed := slices.Clone(d.listedAt)
		d.mu.Unlock()
		if len(listed) >= count {
			for _, at := range listed[:count] {
				took = append(took, at.Sub(since))
			}
			return took
		}
		if time.Since(start) > testTimeout {
			t.Fatalf("%d of %d lists were requested", len(listed), count)
		}
	}
}

// startFleetNode starts the process of one node of a fleet, whose list has one endpoint.
func (d *queuedDiscovery) startFleetNode(t *testing.T, discoveryAddr string) (addr string) {
	t.Helper()
	addr = freeAddr(t)
	path := filepath.Join(t.TempDir(), "config.json")
	raw := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":%q,
		"limits":{"cores":1,"memory_mb":64,"sockets":128},"settings":%s,"known":%s}`,
		addr, discoveryAddr, fmt.Sprintf("%016x", time.Now().UnixNano()), fleetSettings(fleetNodes), d.list)
	if err := os.WriteFile(path, []byte(raw), 0o600); err != nil {
		t.Fatal(err)
	}
	startProcess(t, path, t.TempDir(), nil)
	return addr
}

// After an outage in which discovery answers 503, all nodes receive their lists about as soon as
// discovery can serve them. During the outage, clients are rejected with Retry-After values that spread
// their return.
func TestNodesReceiveListsAfterOutage(t *testing.T) {
	t.Parallel()
	upstreamAddr := testsocket.Serve(t, serveUpstream(&atomic.Int32{}))
	d := &queuedDiscovery{watches: map[net.Conn]struct{}{}, list: fmt.Sprintf(`{"generation":1,"reset":true,"instances":[`+
		`{"instanceId":"s0","hostPort":%q,"zone":"a","lifecycle":"active","startedAtMs":0}]}`, upstreamAddr)}
	discoveryAddr := testsocket.Serve(t, d.serve)
	var addrs []string
	for range fleetNodes {
		addrs = append(addrs, d.startFleetNode(t, discoveryAddr))
	}
	d.awaitLists(t, fleetNodes, time.Now())
	d.takeDown()
	time.Sleep(outageDuration) // no node has a list
	retryAfters := requestRetryAfters(t, addrs)
	restoredAt := time.Now()
	d.isDown.Store(false)
	took := d.awaitLists(t, fleetNodes, restoredAt)
	const longestPause, machineDelay = 1250 * time.Millisecond, time.Second
	for _, percent := range []int{50, 90, 99} {
		count := (fleetNodes*percent + 99) / 100
		if bound := time.Duration(count)*callDuration + longestPause + machineDelay; took[count-1] > bound {
			t.Errorf("%d %% of nodes have a list after %v, want at most %v", percent, took[count-1], bound)
		}
	}
	t.Logf("lists after %v; Retry-After values in ms: %v", took, retryAfters)
	if spread := slices.Max(retryAfters) - slices.Min(retryAfters); spread < 200 {
		t.Errorf("the Retry-After values spread over %d ms only, want 200 ms at least", spread)
	}
	for _, addr := range addrs {
		expectServed(t, addr)
	}
}

// requestRetryAfters sends a request to each node, which must reject it, and returns the Retry-After
// values in milliseconds.
func requestRetryAfters(t *testing.T, addrs []string) (times []int) {
	t.Helper()
	for i, addr := range addrs {
		answer := dialClient(t, addr, openLine(fmt.Sprint("m", i))).readLine()
		var retryAfter int
		if _, err := fmt.Sscanf(answer, "BUSY %d", &retryAfter); err != nil {
			t.Errorf("a client while the node has no valid list: %q", answer)
			continue
		}
		times = append(times, retryAfter)
	}
	return times
}
