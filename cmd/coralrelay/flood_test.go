package main

import (
	"fmt"
	"io"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/testsocket"
)

// discoveryProxy forwards calls to a discovery, and can simulate an outage of it.
type discoveryProxy struct {
	backendAddr string // the discovery's address
	isDown      atomic.Bool
	watches     sync.Map     // open watches: from the node's connection to the discovery's
	watched     atomic.Int32 // number of watches so far
}

func (d *discoveryProxy) serve(conn net.Conn) {
	if d.isDown.Load() {
		return
	}
	to, err := net.Dial("tcp", d.backendAddr)
	if err != nil {
		return
	}
	defer to.Close()
	d.watches.Store(conn, to)
	defer d.watches.Delete(conn)
	d.watched.Add(1)
	go func() { _, _ = io.Copy(to, conn) }()
	_, _ = io.Copy(conn, to)
}

// takeDown ends all watches, and the proxy closes new calls until isDown is false again.
func (d *discoveryProxy) takeDown() {
	d.isDown.Store(true)
	d.watches.Range(func(conn, to any) bool {
		_ = conn.(net.Conn).Close()
		_ = to.(net.Conn).Close()
		return true
	})
}

// startDiscoveryProxy starts a proxy for a discovery that lists the given number of endpoints. The first one,
// s1, is also in the node's configuration.
func startDiscoveryProxy(t *testing.T, endpoints int, upstreamAddr string) (d *discoveryProxy, addr string) {
	t.Helper()
	list := fake.NewDiscovery()
	t.Cleanup(list.Close)
	for i := range endpoints {
		list.Set(fmt.Sprint("s", i+1), fake.Active, time.Time{}, map[string]string{"n0": upstreamAddr})
	}
	backendAddr, err := list.Listen("n0")
	if err != nil {
		t.Fatal(err)
	}
	d = &discoveryProxy{backendAddr: backendAddr}
	return d, testsocket.Serve(t, d.serve)
}

// floodConnections connects to addr again and again until stopped is closed, as one client of a flood,
// and keeps the last hundred connections open. They are silent, send an invalid or endless line, or open
// sessions.
func floodConnections(addr string, n int, stopped <-chan struct{}) {
	var kept []net.Conn
	defer func() {
		for _, c := range kept {
			_ = c.Close()
		}
	}()
	for i := 0; ; i++ {
		select {
		case <-stopped:
			return
		default:
		}
		c, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			continue
		}
		texts := []string{"", "HELLO\r\n", strings.Repeat("x", 6000), openLine(fmt.Sprintf("f%d.%d", n, i))}
		fmt.Fprint(c, texts[i%len(texts)])
		if kept = append(kept, c); len(kept) > 100 {
			_ = kept[0].Close()
			kept = kept[1:]
		}
	}
}

// expectServedOrBusy requires that a normal client is served during a flood, or rejected with a
// Retry-After. The Retry-After is half of maxRetryAfter, 500 ms, if the request was not read, and
// otherwise a third of the client's deadline, plus or minus a half of that.
func expectServedOrBusy(t *testing.T, addr string) {
	t.Helper()
	const least, most = 200, 600 // milliseconds
	answer := dialClient(t, addr, openLine("usual")).readLine()
	var retryAfter int
	_, err := fmt.Sscanf(answer, "BUSY %d", &retryAfter)
	isBusy := err == nil && (retryAfter >= least && retryAfter <= most)
	if answer != "UP r1" && !isBusy {
		t.Errorf("a normal client during the flood: %q", answer)
	}
}

// expectServed requires that a normal client is served within 4 s, for instance after a flood.
func expectServed(t *testing.T, addr string) {
	t.Helper()
	for start := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		c := dialClient(t, addr, openLine(fmt.Sprint("after", start.UnixNano())))
		if c.readLine() == "UP r1" {
			return
		}
		if time.Since(start) > 4*time.Second {
			t.Fatal("a normal client is still rejected after 4 s")
		}
		start = start.Add(1)
	}
}

// startLimitedNode starts a process with a limit of descriptors, and a discovery that lists the given
// number of endpoints. It waits until the process serves and has the whole list.
func startLimitedNode(t *testing.T, endpoints, sockets int) (p *process, addr string, discovery *discoveryProxy) {
	t.Helper()
	t.Setenv("TEST_NOFILE", fmt.Sprint(sockets))
	upstreamAddr := testsocket.Serve(t, serveUpstream(&atomic.Int32{}))
	discovery, discoveryAddr := startDiscoveryProxy(t, endpoints, upstreamAddr)
	addr, path := freeAddr(t), filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, addr, discoveryAddr, upstreamAddr, sockets)
	p = startProcess(t, path, t.TempDir(), nil)
	p.untilAnswer("PING", "200")
	p.untilMetrics(fmt.Sprintf("balancer.registry_entries:%d|g\r\n", endpoints))
	return p, addr, discovery
}

// During an outage of discovery, a flood of clients stays silent, sends invalid lines, or opens sessions
// and keeps them. The process has few descriptors and keeps probe connections to many endpoints. The
// discovery watch must still resume soon after the outage, sessions must go on, and new clients must be
// served.
func TestFloodWhileDiscoveryIsDown(t *testing.T) {
	const endpoints, sockets = 60, 160
	p, addr, discovery := startLimitedNode(t, endpoints, sockets)
	var sessions []*client
	for i := range 10 {
		sessions = append(sessions, openSession(t, addr, fmt.Sprint("a", i)))
	}
	for i := range 300 { // enough requests for all endpoints to be probed
		c := dialClient(t, addr, openLine(fmt.Sprint("p", i)))
		_ = c.readLine()
		_ = c.Close()
	}

	before := discovery.watched.Load()
	discovery.takeDown()
	stopped := make(chan struct{})
	var flood sync.WaitGroup
	for n := range 8 {
		flood.Go(func() { floodConnections(addr, n, stopped) })
	}
	time.Sleep(2 * time.Second) // the length of the outage
	discovery.isDown.Store(false)
	restoredAt := time.Now()
	for discovery.watched.Load() == before && time.Since(restoredAt) < testTimeout {
		time.Sleep(time.Millisecond)
	}
	// The last call may have failed just before the end of the outage; the pause after it is under 2 s.
	if took := time.Since(restoredAt); took > 3*time.Second {
		t.Errorf("the watch resumed after %v, want at most 3 s", took)
	}
	for i, c := range sessions {
		_ = c.SetDeadline(time.Now().Add(testTimeout))
		c.expectRelayed(fmt.Sprint("session ", i))
	}
	expectServedOrBusy(t, addr)
	close(stopped)
	flood.Wait()
	expectServed(t, addr)
	p.signal(syscall.SIGKILL)
	_ = p.awaitExit(testTimeout)
	if log := p.log.String(); strings.Contains(log, "too many open files") {
		t.Errorf("descriptors ran out:\n%s", log)
	}
}
