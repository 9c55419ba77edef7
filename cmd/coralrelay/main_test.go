package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"coralrelay/internal/config"
	"coralrelay/internal/operatorconfig"
)

const testTimeout = 10 * time.Second // no test waits this long unless it fails

const settingsJSON = `{"classes":[{"name":"feed","objective":0.3,"deadline":1.2,"effect":"read_like"}],
"domain":{"groups":true,"messageAim":[0.06],"mode":"proxy"},"granularity":0.004,"nInstances":1,
"guarantees":{"askWithin":10,"coldFrom":0.12,"drainGrace":0.3,"graceToAnswer":0.016,"rampTime":23,"tipAfter":1.5,"tipMultiple":3},
"limits":{"connectTimeout":0.25,"maxRetryAfter":1,"mostTries":6,"probing":true,"retryAfter":true},
"registryMode":"on_request","report":{"via":"probe"},"weights":"rough","zone":"a"}`

// listen starts a party on loopback that serves each connection with f.
func listen(t *testing.T, f func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() { defer conn.Close(); f(conn) }()
		}
	}()
	return l.Addr().String()
}

// nextHop answers as a feed server does; first lines are kept in got.
func serveUpstream(got *atomic.Int32) func(net.Conn) {
	return func(conn net.Conn) {
		for lines := bufio.NewScanner(conn); lines.Scan(); {
			answer := "yes"
			switch command, _, _ := strings.Cut(lines.Text(), " "); command {
			case "STATS":
				answer = "PONG outstanding=1,x0=0.1,recent_ms=2"
			case "OPEN":
				got.Add(1)
				answer = "UP r1"
			}
			fmt.Fprintf(conn, "%s\r\n", answer)
		}
	}
}

// TestMain lets the test binary stand in for the node's process, where signals
// are tested.
func TestMain(m *testing.M) {
	if os.Getenv("BALANCER_CONFIG") != "" {
		if n, err := strconv.Atoi(os.Getenv("TEST_NOFILE")); err == nil {
			if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: uint64(n), Max: uint64(n)}); err != nil {
				panic(err)
			}
		}
		main()
		return
	}
	os.Exit(m.Run())
}

// free returns an address on which nobody listens.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// configure writes the configuration of a node that knows one next hop.
func writeConfig(t *testing.T, path, addr, discovery, upstreamAddr string, sockets int) {
	t.Helper()
	raw := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":64,"sockets":%d},"settings":%s,"known":{"generation":1,"reset":true,"instances":[
		{"instanceId":"s1","hostPort":%q,"zone":"a","lifecycle":"active","weight":1,"startedAtMs":0}]}}`,
		addr, discovery, sockets, settingsJSON, upstreamAddr)
	if upstreamAddr == "" {
		raw = raw[:strings.Index(raw, `,"known"`)] + "}"
	}
	if err := os.WriteFile(path, []byte(raw), 0o600); err != nil {
		t.Fatal(err)
	}
}

// ready waits until the node accepts callers.
func awaitListening(t *testing.T, addr string) {
	t.Helper()
	for begun := time.Now(); ; {
		if conn, err := net.Dial("tcp", addr); err == nil {
			conn.Close()
			return
		} else if time.Since(begun) > testTimeout {
			t.Fatal(err)
		}
	}
}

// slow holds back UP until it may go.
type delayedUpConn struct {
	net.Conn
	isReleased *atomic.Bool
}

func (c *delayedUpConn) Write(b []byte) (int, error) {
	for strings.HasPrefix(string(b), "UP") && !c.isReleased.Load() {
		time.Sleep(time.Millisecond)
	}
	return c.Conn.Write(b)
}

// node starts a node that knows one next hop, and returns where it listens and
// what ends it. Its discovery accepts calls and answers none.
func startNode(t *testing.T, upstreamAddr string, sockets int) (addr string, terminate context.CancelFunc, done <-chan error) {
	t.Helper()
	discovery := listen(t, func(conn net.Conn) { io.Copy(io.Discard, conn) })
	addr = freeAddr(t)
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, addr, discovery, upstreamAddr, sockets)
	c, err := config.Load(func(name string) string {
		if name == "BALANCER_CONFIG" {
			return path
		}
		return ""
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- serve(ctx, nil, c, operatorconfig.Default(), "") }()
	t.Cleanup(cancel)
	awaitListening(t, addr)
	return addr, cancel, ended
}

// client is a caller's connection.
type client struct {
	net.Conn
	reader *bufio.Reader
	t      *testing.T
}

func dialClient(t *testing.T, addr, text string) *client {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprint(conn, text)
	return &client{conn, bufio.NewReader(conn), t}
}

func (c *client) readLine() string {
	c.t.Helper()
	s, err := c.reader.ReadString('\n')
	if err != nil {
		c.t.Fatalf("read %q, %v", s, err)
	}
	return strings.TrimSuffix(s, "\r\n")
}

func openLine(id string) string { return "OPEN " + id + " k1 c=feed,d=1200,g=5c\r\n" }

func TestRelaysSession(t *testing.T) {
	var got atomic.Int32
	addr, _, _ := startNode(t, listen(t, serveUpstream(&got)), 1024)
	c := dialClient(t, addr, "PING\r\n")
	if s := c.readLine(); s != "PONG" {
		t.Fatalf("ping: %q", s)
	}
	fmt.Fprint(c, openLine("a")) // PING may come before the first line
	if s := c.readLine(); s != "UP r1" {
		t.Fatalf("first answer %q", s)
	}
	fmt.Fprint(c, "are you there\r\n")
	if s := c.readLine(); s != "yes" {
		t.Fatalf("relayed %q", s)
	}
	if s := dialClient(t, addr, "OPEN b k1 c=feed,d=1200,at=s1\r\n").readLine(); s != "UP r1" {
		t.Fatalf("a connection that its next hop holds: %q", s)
	}
}

// Malformed first lines get one failing answer and a close, and none goes on.
func TestRejectsMalformedFirstLines(t *testing.T) {
	var got atomic.Int32
	addr, _, _ := startNode(t, listen(t, serveUpstream(&got)), 1024)
	for name, text := range map[string]string{
		"word": "HELLO\r\n", "binary": "OPEN \x00\xff k c=feed,d=1\r\n", "no wait": "OPEN a k c=feed\r\n",
		"class unknown": "OPEN a k c=chat,d=1000\r\n", "endless": strings.Repeat("OPEN", 5000),
	} {
		c := dialClient(t, addr, text)
		if s := c.readLine(); s != "ERR" {
			t.Errorf("%s: answered %q", name, s)
		}
		if s, err := c.reader.ReadString('\n'); err == nil {
			t.Errorf("%s: a second answer %q", name, s)
		}
	}
	if n := got.Load(); n != 0 {
		t.Errorf("%d first lines went on", n)
	}
}

// A caller that never says a whole first line is owed an answer or a close within
// 3 s of its connect, however it spends them.
func TestClientsWithoutFirstLineAreAnsweredInTime(t *testing.T) {
	var got atomic.Int32
	addr, _, _ := startNode(t, listen(t, serveUpstream(&got)), 1024)
	for name, text := range map[string]string{"silent": "", "half a line": "OPEN a k1 c=fe", "pings": "PING\r\n", "drips": "O"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			begun := time.Now()
			c := dialClient(t, addr, text)
			if name == "pings" {
				c.readLine()
			}
			if name == "drips" { // no byte buys fresh time
				go func() {
					for range time.Tick(100 * time.Millisecond) {
						if _, err := c.Write([]byte("x")); err != nil {
							return
						}
					}
				}()
			}
			s, err := c.reader.ReadString('\n')
			if took := time.Since(begun); took > 3*time.Second || err == nil && s != "ERR\r\n" && s != "BUSY 500\r\n" {
				t.Errorf("%q, %v after %v", s, err, took)
			}
		})
	}
}

// The error reaches a caller that has far more to send, and does not wait for it.
func TestErrorIsSentWhileClientStillSends(t *testing.T) {
	var got atomic.Int32
	addr, _, _ := startNode(t, listen(t, serveUpstream(&got)), 1024)
	for _, first := range []string{"", "OPEN a k1 c=chat,d=1000\r\n"} {
		c := dialClient(t, addr, first)
		sent := make(chan int)
		go func() {
			n, _ := c.Write(make([]byte, 60<<20))
			sent <- n
		}()
		if s := c.readLine(); s != "ERR" {
			t.Errorf("answered %q", s)
		}
		if n := <-sent; n == 60<<20 {
			t.Error("all of it was read")
		}
	}
}

// The id of another caller's open request earns an error, and its owner keeps
// both the request and the connection.
func TestRejectsIDInUse(t *testing.T) {
	var got atomic.Int32
	var up atomic.Bool
	addr, _, _ := startNode(t, listen(t, func(conn net.Conn) {
		serveUpstream(&got)(&delayedUpConn{conn, &up})
	}), 1024)
	owner := dialClient(t, addr, openLine("a"))
	for begun := time.Now(); got.Load() == 0 && time.Since(begun) < testTimeout; {
		time.Sleep(time.Millisecond)
	}
	if s := dialClient(t, addr, openLine("a")).readLine(); s != "ERR" {
		t.Errorf("while it is set up: %q", s)
	}
	up.Store(true)
	if s := owner.readLine(); s != "UP r1" {
		t.Errorf("the owner's answer: %q", s)
	}
	if s := dialClient(t, addr, openLine("a")).readLine(); s != "ERR" {
		t.Errorf("while it stands: %q", s)
	}
	fmt.Fprint(owner, "are you there\r\n")
	if s := owner.readLine(); s != "yes" || got.Load() != 1 {
		t.Errorf("relayed %q, %d first lines went on", s, got.Load())
	}
}

// A crowd that says nothing must not use up the sockets: who has waited longest
// makes room, and usual callers are served.
func TestSilentClientsAreEvictedForOthers(t *testing.T) {
	var got atomic.Int32
	addr, _, _ := startNode(t, listen(t, serveUpstream(&got)), 64)
	silent := make([]*client, 200)
	for i := range silent {
		silent[i] = dialClient(t, addr, "")
		if i%20 == 0 {
			if s := dialClient(t, addr, openLine(fmt.Sprint("a", i))).readLine(); s != "UP r1" {
				t.Fatalf("a usual caller behind %d silent ones: %q", i+1, s)
			}
		}
	}
	if s := silent[0].readLine(); s != "BUSY 500" {
		t.Errorf("the first of the crowd: %q", s)
	}
}

// The answer comes before the deadline, also with a next hop that takes the
// first line and answers nothing, or with no roster at all.
func TestAnswersBeforeTheDeadline(t *testing.T) {
	hung := listen(t, func(conn net.Conn) { bufio.NewReader(conn).ReadString(0) })
	for name, hop := range map[string]string{"hung next hop": hung, "no roster": ""} {
		addr, _, _ := startNode(t, hop, 1024)
		begun := time.Now()
		s := dialClient(t, addr, "OPEN a k1 c=feed,d=400\r\n").readLine()
		// The rules allow 50 ms more on sockets; a loaded machine may need them.
		if took := time.Since(begun); !strings.HasPrefix(s, "BUSY ") || took > 450*time.Millisecond {
			t.Errorf("%s: %q after %v", name, s, took)
		}
	}
}

func TestBusyBeyondSocketLimit(t *testing.T) {
	var got atomic.Int32
	addr, _, _ := startNode(t, listen(t, serveUpstream(&got)), 64)
	for i := range 24 { // (64 - 16) / 2
		if s := dialClient(t, addr, openLine(fmt.Sprint("a", i))).readLine(); s != "UP r1" {
			t.Fatalf("connection %d: %q", i, s)
		}
	}
	if s := dialClient(t, addr, openLine("b")).readLine(); s != "BUSY 500" {
		t.Errorf("beyond the limit: %q", s)
	}
}

// A planned restart moves what stands, refuses what comes, and ends in time.
func TestTerminationMovesSessions(t *testing.T) {
	var got atomic.Int32
	addr, terminate, done := startNode(t, listen(t, serveUpstream(&got)), 1024)
	var sessions []*client
	for i := range 8 {
		c := dialClient(t, addr, openLine(fmt.Sprint("a", i)))
		if s := c.readLine(); s != "UP r1" {
			t.Fatalf("connection %d: %q", i, s)
		}
		sessions = append(sessions, c)
	}
	begun := time.Now()
	terminate()
	first := sessions[0].readLine() // accepting goes on while the others stand
	if after := time.Since(begun); after < 500*time.Millisecond {
		t.Errorf("moved after %v: the front still sends callers here", after)
	}
	if s := dialClient(t, addr, openLine("b")).readLine(); s != "BUSY 500" {
		t.Errorf("a new caller: %q", s)
	}
	for _, c := range sessions[1:] {
		if s := c.readLine(); s != "MOVE" || first != "MOVE" {
			t.Errorf("standing: %q, %q", first, s)
		}
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	if took, most := time.Since(begun), 1900*time.Millisecond; took > most {
		t.Errorf("took %v, want at most %v", took, most)
	}
}

// A hang-up once ended the process and cut what stood. Now the node follows the
// discovery that the file names, although its environment still has the first;
// a file that can't be used changes nothing; hang-ups while it drains do no harm.
func TestHangUpReloadsDiscovery(t *testing.T) {
	discovery := func() (string, <-chan net.Conn) {
		calls := make(chan net.Conn, 8)
		return listen(t, func(conn net.Conn) {
			calls <- conn
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\n")
			io.Copy(io.Discard, conn)
			calls <- nil
		}), calls
	}
	expect := func(calls <-chan net.Conn, ended bool, what string) {
		t.Helper()
		select {
		case conn := <-calls:
			if ended != (conn == nil) {
				t.Fatal("not so: " + what)
			}
		case <-time.After(4 * time.Second):
			t.Fatal("not within 4 s: " + what)
		}
	}
	var got atomic.Int32
	upstreamAddr, addr, path := listen(t, serveUpstream(&got)), freeAddr(t), filepath.Join(t.TempDir(), "config.json")
	first, firstCalls := discovery()
	second, secondCalls := discovery()
	writeConfig(t, path, addr, first, upstreamAddr, 1024)
	t.Setenv("BALANCER_DISCOVERY", first)
	process := startProcess(t, path, t.TempDir(), nil)
	signal := process.signal
	awaitListening(t, addr)
	session := dialClient(t, addr, openLine("a"))
	if s := session.readLine(); s != "UP r1" {
		t.Fatalf("first answer %q", s)
	}
	expect(firstCalls, false, "the first discovery is watched")

	writeConfig(t, path, addr, second, upstreamAddr, 1024)
	signal(syscall.SIGHUP)
	expect(secondCalls, false, "the second discovery is watched")
	expect(firstCalls, true, "the first watch is dropped")

	if err := os.WriteFile(path, []byte(`{"discovery":7}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		signal(syscall.SIGHUP)
	}
	fmt.Fprint(session, "are you there\r\n")
	if s := session.readLine(); s != "yes" {
		t.Errorf("relayed %q", s)
	}
	if s := dialClient(t, addr, openLine("b")).readLine(); s != "UP r1" {
		t.Errorf("a caller after a bad file: %q", s)
	}
	signal(syscall.SIGTERM)
	if s := session.readLine(); s != "MOVE" {
		t.Errorf("at the restart %q", s)
	}
	signal(syscall.SIGHUP)
	if err := process.awaitExit(testTimeout); err != nil {
		t.Errorf("the node ended with %v\n%s", err, process.log)
	}
	expect(secondCalls, true, "the second watch ends with the node, and none came between")
}
