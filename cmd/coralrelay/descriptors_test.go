package main

import (
	"context"
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

	"coralrelay/balance"
	"coralrelay/internal/config"
	"coralrelay/internal/discovery"
	"coralrelay/internal/fake"
	"coralrelay/internal/hotrestart"
	"coralrelay/internal/proxy"
	"coralrelay/internal/upstream"
)

// While discovery is down a crowd rests, sends what is no line, or opens and stays. The
// process may hold few descriptors and lists many next hops, and probes them all. Its watch
// comes back within a second of discovery's return, who stands stays, and new callers are
// served.
func TestFloodWhileDiscoveryIsDown(t *testing.T) {
	const hops, sockets = 60, 160
	t.Setenv("TEST_NOFILE", fmt.Sprint(sockets))
	var got atomic.Int32
	hop := listen(t, nextHop(&got))
	list := fake.NewDiscovery()
	t.Cleanup(list.Close)
	for i := range hops { // s1 first, which the node knows by its configuration
		list.Set(fmt.Sprint("s", i+1), fake.Active, time.Time{}, map[string]string{"n0": hop})
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
	addr, path := free(t), filepath.Join(t.TempDir(), "config.json")
	configure(t, path, addr, discovery, hop, sockets)
	p := startProcess(t, path, t.TempDir(), nil)
	p.until("PING", "200")
	p.untilHas(fmt.Sprintf("balancer.registry_entries:%d|g\r\n", hops))
	var standing []*client
	for i := range 10 {
		c := call(t, addr, open(fmt.Sprint("a", i)))
		if s := c.line(); s != "UP r1" {
			t.Fatalf("connection %d: %q", i, s)
		}
		standing = append(standing, c)
	}
	for i := range 300 { // until all are probed
		c := call(t, addr, open(fmt.Sprint("p", i)))
		_ = c.line()
		c.Close()
	}

	before := watched.Load()
	down.Store(true)
	watches.Range(func(conn, to any) bool { conn.(net.Conn).Close(); to.(net.Conn).Close(); return true })
	stop := make(chan struct{})
	var crowd sync.WaitGroup
	for n := range 8 {
		crowd.Go(func() {
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
				fmt.Fprint(c, []string{"", "HELLO\r\n", strings.Repeat("x", 6000), open(fmt.Sprintf("f%d.%d", n, i))}[i%4])
				if kept = append(kept, c); len(kept) > 100 {
					kept[0].Close()
					kept = kept[1:]
				}
			}
		})
	}
	time.Sleep(2 * time.Second) // of the outage
	down.Store(false)
	back := time.Now()
	for watched.Load() == before && time.Since(back) < patience {
		time.Sleep(time.Millisecond)
	}
	// A call may have failed just before, and the pause after it is under 2 s.
	if took := time.Since(back); took > 3*time.Second {
		t.Errorf("the watch came back after %v", took)
	}
	for i, c := range standing {
		c.SetDeadline(time.Now().Add(patience))
		fmt.Fprint(c, "are you there\r\n")
		if s := c.line(); s != "yes" {
			t.Errorf("standing connection %d: %q", i, s)
		}
	}
	usual := call(t, addr, open("usual"))
	if s, _ := usual.r.ReadString('\n'); s != "UP r1\r\n" && s != "BUSY 500\r\n" {
		t.Errorf("a usual caller in the crowd: %q", s)
	}
	close(stop)
	crowd.Wait()
	for begun := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		c := call(t, addr, open(fmt.Sprint("after", begun.UnixNano())))
		if c.line() == "UP r1" {
			break
		}
		if time.Since(begun) > 4*time.Second {
			t.Fatal("a usual caller after the crowd is refused")
		}
		begun = begun.Add(1)
	}
	p.signal(syscall.SIGKILL)
	_ = p.ends(patience)
	if log := p.log.String(); strings.Contains(log, "too many open files") {
		t.Errorf("descriptors ran out:\n%s", log)
	}
}

// taker keeps what is handed over.
type taker chan [2]net.Conn

func (k taker) Adopt(_ proxy.EstablishedSession, caller, hop net.Conn) bool {
	k <- [2]net.Conn{caller, hop}
	return true
}
func (taker) Learn(balance.LearnedState) {}

// No socket holds small writes back: not one that was accepted, at a listener of the node's
// own or an inherited one, not one that was handed over, nor one that the node dials.
func TestNoDelay(t *testing.T) {
	noDelay := func(what string, conn net.Conn) {
		t.Helper()
		raw, err := conn.(syscall.Conn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		on := 0
		_ = raw.Control(func(fd uintptr) { on, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY) })
		if err != nil || on == 0 {
			t.Errorf("%s: TCP_NODELAY is %d, %v", what, on, err)
		}
	}
	accepted := func(what, addr string, inherited int) [2]net.Conn {
		t.Helper()
		l, err := openClientListener(config.Config{Listen: addr, InheritedFD: inherited})
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		far, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		near, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { near.Close(); far.Close() })
		noDelay(what, near)
		return [2]net.Conn{near, far}
	}
	ends := accepted("accepted", "127.0.0.1:0", 0)
	_, file := held(t)
	copied, err := syscall.Dup(int(file.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	accepted("accepted at an inherited listener", "", copied)

	ctx, cancel := context.WithCancel(t.Context())
	var parts sync.WaitGroup
	to, dir := make(taker, 1), t.TempDir()
	if err := hotrestart.Listen(ctx, &parts, dir, "n0", to); err != nil {
		t.Fatal(err)
	}
	g, err := hotrestart.Dial(dir, "n0")
	if err != nil {
		t.Fatal(err)
	}
	for _, end := range ends { // what the taker has is its own doing
		end.(*net.TCPConn).SetNoDelay(false)
	}
	if !g.Take(proxy.EstablishedSession{}, ends[0], ends[1]) {
		t.Fatal("not taken")
	}
	for i, conn := range <-to {
		noDelay([]string{"a caller that was handed over", "a next hop that was"}[i], conn)
		conn.Close()
	}
	g.Close()
	cancel()
	parts.Wait()

	addr := listen(t, func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
	for what, dial := range map[string]func(context.Context, string, time.Time) (net.Conn, error){
		"to a next hop": upstream.New(t.Context(), upstream.Limits{}).Dial, "to discovery": discovery.New(addr, nil).Dial,
	} {
		conn, err := dial(t.Context(), addr, time.Now().Add(patience))
		if err != nil {
			t.Fatal(err)
		}
		noDelay(what, conn)
		conn.Close()
	}
}
