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

const patience = 10 * time.Second // no test waits this long unless it fails

const settings = `{"classes":[{"name":"feed","objective":0.3,"deadline":1.2,"effect":"read_like"}],
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
func nextHop(got *atomic.Int32) func(net.Conn) {
	return func(conn net.Conn) {
		for lines := bufio.NewScanner(conn); lines.Scan(); {
			answer := "yes"
			switch word, _, _ := strings.Cut(lines.Text(), " "); word {
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
func free(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// configure writes the configuration of a node that knows one next hop.
func configure(t *testing.T, path, addr, discovery, hop string, sockets int) {
	t.Helper()
	raw := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":64,"sockets":%d},"settings":%s,"known":{"generation":1,"reset":true,"instances":[
		{"instanceId":"s1","hostPort":%q,"zone":"a","lifecycle":"active","weight":1,"startedAtMs":0}]}}`,
		addr, discovery, sockets, settings, hop)
	if hop == "" {
		raw = raw[:strings.Index(raw, `,"known"`)] + "}"
	}
	if err := os.WriteFile(path, []byte(raw), 0o600); err != nil {
		t.Fatal(err)
	}
}

// ready waits until the node accepts callers.
func ready(t *testing.T, addr string) {
	t.Helper()
	for begun := time.Now(); ; {
		if conn, err := net.Dial("tcp", addr); err == nil {
			conn.Close()
			return
		} else if time.Since(begun) > patience {
			t.Fatal(err)
		}
	}
}

// slow holds back UP until it may go.
type slow struct {
	net.Conn
	may *atomic.Bool
}

func (s *slow) Write(p []byte) (int, error) {
	for strings.HasPrefix(string(p), "UP") && !s.may.Load() {
		time.Sleep(time.Millisecond)
	}
	return s.Conn.Write(p)
}

// node starts a node that knows one next hop, and returns where it listens and
// what ends it. Its discovery accepts calls and answers none.
func node(t *testing.T, hop string, sockets int) (addr string, terminate context.CancelFunc, done <-chan error) {
	t.Helper()
	discovery := listen(t, func(conn net.Conn) { io.Copy(io.Discard, conn) })
	addr = free(t)
	path := filepath.Join(t.TempDir(), "config.json")
	configure(t, path, addr, discovery, hop, sockets)
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
	ready(t, addr)
	return addr, cancel, ended
}

// client is a caller's connection.
type client struct {
	net.Conn
	r *bufio.Reader
	t *testing.T
}

func call(t *testing.T, addr, text string) *client {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(patience))
	fmt.Fprint(conn, text)
	return &client{conn, bufio.NewReader(conn), t}
}

func (c *client) line() string {
	c.t.Helper()
	s, err := c.r.ReadString('\n')
	if err != nil {
		c.t.Fatalf("read %q, %v", s, err)
	}
	return strings.TrimSuffix(s, "\r\n")
}

func open(id string) string { return "OPEN " + id + " k1 c=feed,d=1200,g=5c\r\n" }

func TestServes(t *testing.T) {
	var got atomic.Int32
	addr, _, _ := node(t, listen(t, nextHop(&got)), 1024)
	c := call(t, addr, "PING\r\n")
	if s := c.line(); s != "PONG" {
		t.Fatalf("ping: %q", s)
	}
	fmt.Fprint(c, open("a")) // PING may come before the first line
	if s := c.line(); s != "UP r1" {
		t.Fatalf("first answer %q", s)
	}
	fmt.Fprint(c, "are you there\r\n")
	if s := c.line(); s != "yes" {
		t.Fatalf("relayed %q", s)
	}
	if s := call(t, addr, "OPEN b k1 c=feed,d=1200,at=s1\r\n").line(); s != "UP r1" {
		t.Fatalf("a connection that its next hop holds: %q", s)
	}
}

// Malformed first lines get one failing answer and a close, and none goes on.
func TestBadFirstLines(t *testing.T) {
	var got atomic.Int32
	addr, _, _ := node(t, listen(t, nextHop(&got)), 1024)
	for name, text := range map[string]string{
		"word": "HELLO\r\n", "binary": "OPEN \x00\xff k c=feed,d=1\r\n", "no wait": "OPEN a k c=feed\r\n",
		"class unknown": "OPEN a k c=chat,d=1000\r\n", "endless": strings.Repeat("OPEN", 5000),
	} {
		c := call(t, addr, text)
		if s := c.line(); s != "ERR" {
			t.Errorf("%s: answered %q", name, s)
		}
		if s, err := c.r.ReadString('\n'); err == nil {
			t.Errorf("%s: a second answer %q", name, s)
		}
	}
	if n := got.Load(); n != 0 {
		t.Errorf("%d first lines went on", n)
	}
}

// A caller that never says a whole first line is owed an answer or a close within
// 3 s of its connect, however it spends them.
func TestCallersWithoutAFirstLine(t *testing.T) {
	var got atomic.Int32
	addr, _, _ := node(t, listen(t, nextHop(&got)), 1024)
	for name, text := range map[string]string{"silent": "", "half a line": "OPEN a k1 c=fe", "pings": "PING\r\n", "drips": "O"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			begun := time.Now()
			c := call(t, addr, text)
			if name == "pings" {
				c.line()
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
			s, err := c.r.ReadString('\n')
			if took := time.Since(begun); took > 3*time.Second || err == nil && s != "ERR\r\n" && s != "BUSY 500\r\n" {
				t.Errorf("%q, %v after %v", s, err, took)
			}
		})
	}
}

// The error reaches a caller that has far more to send, and does not wait for it.
func TestErrorOvertakesAFlood(t *testing.T) {
	var got atomic.Int32
	addr, _, _ := node(t, listen(t, nextHop(&got)), 1024)
	for _, first := range []string{"", "OPEN a k1 c=chat,d=1000\r\n"} {
		c := call(t, addr, first)
		sent := make(chan int)
		go func() {
			n, _ := c.Write(make([]byte, 60<<20))
			sent <- n
		}()
		if s := c.line(); s != "ERR" {
			t.Errorf("answered %q", s)
		}
		if n := <-sent; n == 60<<20 {
			t.Error("all of it was read")
		}
	}
}

// The id of another caller's open request earns an error, and its owner keeps
// both the request and the connection.
func TestIdInUse(t *testing.T) {
	var got atomic.Int32
	var up atomic.Bool
	addr, _, _ := node(t, listen(t, func(conn net.Conn) {
		nextHop(&got)(&slow{conn, &up})
	}), 1024)
	owner := call(t, addr, open("a"))
	for begun := time.Now(); got.Load() == 0 && time.Since(begun) < patience; {
		time.Sleep(time.Millisecond)
	}
	if s := call(t, addr, open("a")).line(); s != "ERR" {
		t.Errorf("while it is set up: %q", s)
	}
	up.Store(true)
	if s := owner.line(); s != "UP r1" {
		t.Errorf("the owner's answer: %q", s)
	}
	if s := call(t, addr, open("a")).line(); s != "ERR" {
		t.Errorf("while it stands: %q", s)
	}
	fmt.Fprint(owner, "are you there\r\n")
	if s := owner.line(); s != "yes" || got.Load() != 1 {
		t.Errorf("relayed %q, %d first lines went on", s, got.Load())
	}
}

// A crowd that says nothing must not use up the sockets: who has waited longest
// makes room, and usual callers are served.
func TestCrowdMakesRoom(t *testing.T) {
	var got atomic.Int32
	addr, _, _ := node(t, listen(t, nextHop(&got)), 64)
	crowd := make([]*client, 200)
	for i := range crowd {
		crowd[i] = call(t, addr, "")
		if i%20 == 0 {
			if s := call(t, addr, open(fmt.Sprint("a", i))).line(); s != "UP r1" {
				t.Fatalf("a usual caller behind %d silent ones: %q", i+1, s)
			}
		}
	}
	if s := crowd[0].line(); s != "BUSY 500" {
		t.Errorf("the first of the crowd: %q", s)
	}
}

// The answer comes before the deadline, also with a next hop that takes the
// first line and answers nothing, or with no roster at all.
func TestAnswersBeforeTheDeadline(t *testing.T) {
	hung := listen(t, func(conn net.Conn) { bufio.NewReader(conn).ReadString(0) })
	for name, hop := range map[string]string{"hung next hop": hung, "no roster": ""} {
		addr, _, _ := node(t, hop, 1024)
		begun := time.Now()
		s := call(t, addr, "OPEN a k1 c=feed,d=400\r\n").line()
		// The rules allow 50 ms more on sockets; a loaded machine may need them.
		if took := time.Since(begun); !strings.HasPrefix(s, "BUSY ") || took > 450*time.Millisecond {
			t.Errorf("%s: %q after %v", name, s, took)
		}
	}
}

func TestBusyBeyondTheSockets(t *testing.T) {
	var got atomic.Int32
	addr, _, _ := node(t, listen(t, nextHop(&got)), 64)
	for i := range 24 { // (64 - 16) / 2
		if s := call(t, addr, open(fmt.Sprint("a", i))).line(); s != "UP r1" {
			t.Fatalf("connection %d: %q", i, s)
		}
	}
	if s := call(t, addr, open("b")).line(); s != "BUSY 500" {
		t.Errorf("beyond the limit: %q", s)
	}
}

// A planned restart moves what stands, refuses what comes, and ends in time.
func TestTerminates(t *testing.T) {
	var got atomic.Int32
	addr, terminate, done := node(t, listen(t, nextHop(&got)), 1024)
	var standing []*client
	for i := range 8 {
		c := call(t, addr, open(fmt.Sprint("a", i)))
		if s := c.line(); s != "UP r1" {
			t.Fatalf("connection %d: %q", i, s)
		}
		standing = append(standing, c)
	}
	begun := time.Now()
	terminate()
	first := standing[0].line() // accepting goes on while the others stand
	if after := time.Since(begun); after < 500*time.Millisecond {
		t.Errorf("moved after %v: the front still sends callers here", after)
	}
	if s := call(t, addr, open("b")).line(); s != "BUSY 500" {
		t.Errorf("a new caller: %q", s)
	}
	for _, c := range standing[1:] {
		if s := c.line(); s != "MOVE" || first != "MOVE" {
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
func TestHangUp(t *testing.T) {
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
	hop, addr, path := listen(t, nextHop(&got)), free(t), filepath.Join(t.TempDir(), "config.json")
	first, firstCalls := discovery()
	second, secondCalls := discovery()
	configure(t, path, addr, first, hop, 1024)
	t.Setenv("BALANCER_DISCOVERY", first)
	process := startProcess(t, path, t.TempDir(), nil)
	signal := process.signal
	ready(t, addr)
	standing := call(t, addr, open("a"))
	if s := standing.line(); s != "UP r1" {
		t.Fatalf("first answer %q", s)
	}
	expect(firstCalls, false, "the first discovery is watched")

	configure(t, path, addr, second, hop, 1024)
	signal(syscall.SIGHUP)
	expect(secondCalls, false, "the second discovery is watched")
	expect(firstCalls, true, "the first watch is dropped")

	if err := os.WriteFile(path, []byte(`{"discovery":7}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		signal(syscall.SIGHUP)
	}
	fmt.Fprint(standing, "are you there\r\n")
	if s := standing.line(); s != "yes" {
		t.Errorf("relayed %q", s)
	}
	if s := call(t, addr, open("b")).line(); s != "UP r1" {
		t.Errorf("a caller after a bad file: %q", s)
	}
	signal(syscall.SIGTERM)
	if s := standing.line(); s != "MOVE" {
		t.Errorf("at the restart %q", s)
	}
	signal(syscall.SIGHUP)
	if err := process.ends(patience); err != nil {
		t.Errorf("the node ended with %v\n%s", err, process.log)
	}
	expect(secondCalls, true, "the second watch ends with the node, and none came between")
}
