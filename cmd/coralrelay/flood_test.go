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
)

// While discovery is down a crowd rests, sends what is no line, or opens and stays. The
// process may hold few descriptors and lists many next hops, and probes them all. Its watch
// comes back within a second of discovery's return, who stands stays, and new callers are
// served.
func TestFloodWhileDiscoveryIsDown(t *testing.T) {
	const endpoints, sockets = 60, 160
	t.Setenv("TEST_NOFILE", fmt.Sprint(sockets))
	var got atomic.Int32
	upstreamAddr := listen(t, serveUpstream(&got))
	list := fake.NewDiscovery()
	t.Cleanup(list.Close)
	for i := range endpoints { // s1 first, which the node knows by its configuration
		list.Set(fmt.Sprint("s", i+1), fake.Active, time.Time{}, map[string]string{"n0": upstreamAddr})
	}
	behind, err := list.Listen("n0")
	if err != nil {
		t.Fatal(err)
	}
	var down atomic.Bool
	var watches sync.Map // the node's ends of them
	var watched atomic.Int32
	discovery := listen(t, func(conn net.Conn) {
		if down.Load() {
			return
		}
		to, err := net.Dial("tcp", behind)
		if err != nil {
			return
		}
		defer to.Close()
		watches.Store(conn, to)
		defer watches.Delete(conn)
		watched.Add(1)
		go func() { _, _ = io.Copy(to, conn) }()
		_, _ = io.Copy(conn, to)
	})
	addr, path := freeAddr(t), filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, addr, discovery, upstreamAddr, sockets)
	p := startProcess(t, path, t.TempDir(), nil)
	p.untilAnswer("PING", "200")
	p.untilMetrics(fmt.Sprintf("balancer.registry_entries:%d|g\r\n", endpoints))
	var sessions []*client
	for i := range 10 {
		c := dialClient(t, addr, openLine(fmt.Sprint("a", i)))
		if s := c.readLine(); s != "UP r1" {
			t.Fatalf("connection %d: %q", i, s)
		}
		sessions = append(sessions, c)
	}
	for i := range 300 { // until all are probed
		c := dialClient(t, addr, openLine(fmt.Sprint("p", i)))
		_ = c.readLine()
		c.Close()
	}

	before := watched.Load()
	down.Store(true)
	watches.Range(func(conn, to any) bool { conn.(net.Conn).Close(); to.(net.Conn).Close(); return true })
	stop := make(chan struct{})
	var flood sync.WaitGroup
	for n := range 8 {
		flood.Go(func() {
			var kept []net.Conn
			defer func() {
				for _, c := range kept {
					c.Close()
				}
			}()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				c, err := net.DialTimeout("tcp", addr, time.Second)
				if err != nil {
					continue
				}
				fmt.Fprint(c, []string{"", "HELLO\r\n", strings.Repeat("x", 6000), openLine(fmt.Sprintf("f%d.%d", n, i))}[i%4])
				if kept = append(kept, c); len(kept) > 100 {
					kept[0].Close()
					kept = kept[1:]
				}
			}
		})
	}
	time.Sleep(2 * time.Second) // of the outage
	down.Store(false)
	restoredAt := time.Now()
	for watched.Load() == before && time.Since(restoredAt) < testTimeout {
		time.Sleep(time.Millisecond)
	}
	// A call may have failed just before, and the pause after it is under 2 s.
	if took := time.Since(restoredAt); took > 3*time.Second {
		t.Errorf("the watch came back after %v", took)
	}
	for i, c := range sessions {
		_ = c.SetDeadline(time.Now().Add(testTimeout))
		fmt.Fprint(c, "are you there\r\n")
		if s := c.readLine(); s != "yes" {
			t.Errorf("standing connection %d: %q", i, s)
		}
	}
	ordinary := dialClient(t, addr, openLine("usual"))
	if s, _ := ordinary.reader.ReadString('\n'); s != "UP r1\r\n" && s != "BUSY 500\r\n" {
		t.Errorf("a usual caller in the crowd: %q", s)
	}
	close(stop)
	flood.Wait()
	for begun := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		c := dialClient(t, addr, openLine(fmt.Sprint("after", begun.UnixNano())))
		if c.readLine() == "UP r1" {
			break
		}
		if time.Since(begun) > 4*time.Second {
			t.Fatal("a usual caller after the crowd is refused")
		}
		begun = begun.Add(1)
	}
	p.signal(syscall.SIGKILL)
	_ = p.awaitExit(testTimeout)
	if log := p.log.String(); strings.Contains(log, "too many open files") {
		t.Errorf("descriptors ran out:\n%s", log)
	}
}
