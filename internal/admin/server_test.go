package admin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

const answerLimit = time.Second // maximum time until an answer

type fakeNode struct {
	draining           atomic.Bool
	lameDucks, rejoins atomic.Int32
}

func (n *fakeNode) AcceptsClients() bool { return !n.draining.Load() }
func (n *fakeNode) Metrics() string      { return "balancer.open_requests:14|g\r\n" }
func (n *fakeNode) LameDuck()            { n.lameDucks.Add(1); n.draining.Store(true) }
func (n *fakeNode) Rejoin()              { n.rejoins.Add(1); n.draining.Store(false) }

func startServer(t testing.TB) (addr string, n *fakeNode) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n = &fakeNode{}
	ended := make(chan error, 1)
	go func() { ended <- New(n).Serve(l) }()
	t.Cleanup(func() {
		l.Close()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return l.Addr().String(), n
}

func dial(t testing.TB, addr, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(conn, text)
	return conn
}

// call sends text and returns everything that is read until the connection ends.
func call(t testing.TB, addr, text string) string {
	t.Helper()
	startedAt := time.Now()
	all, err := io.ReadAll(dial(t, addr, text))
	if took := time.Since(startedAt); err != nil || took > answerLimit {
		t.Errorf("%.20q: %v after %v", text, err, took)
	}
	return string(all)
}

func TestAnswersEachRequest(t *testing.T) {
	addr, n := startServer(t)
	for _, c := range []struct{ call, want string }{
		{"PING\r\n", "200 OK\r\n"},
		{"PING\n", "200 OK\r\n"},
		{"INFO\r\n", "balancer.open_requests:14|g\r\nEOF\r\n"},
		{"LAMEDUCK\r\n", "200 emptying\r\n"},
		{"PING\r\n", "400 takes no clients\r\n"},
		{"LAMEDUCK\r\n", "200 emptying\r\n"},
		{"REJOIN\r\n", "200 taking clients\r\n"},
		{"PING\r\nLAMEDUCK\r\n", "200 OK\r\n"}, // only the first line is served
		{"INFO", "400 no whole line\r\n"},
		{"STATUS\r\n", "400 unknown call: PING, INFO, LAMEDUCK or REJOIN\r\n"},
		{"", "400 "}, {"\r\n", "400 "}, {"ping\r\n", "400 "}, {"PING \r\n", "400 "}, {"PING", "400 "},
		{"\x00\xff\r\n", "400 "}, {strings.Repeat("INFO", 2000), "400 "},
		{strings.Repeat("x", 4094) + "\r\n", "400 "},
	} {
		conn := dial(t, addr, c.call)
		_ = conn.(*net.TCPConn).CloseWrite() // an incomplete request stays incomplete
		all, err := io.ReadAll(conn)
		if err != nil || !strings.HasPrefix(string(all), c.want) ||
			strings.HasSuffix(c.want, "\r\n") && string(all) != c.want {
			t.Errorf("%.20q: %q, %v", c.call, all, err)
		}
	}
	if n.lameDucks.Load() != 2 || n.rejoins.Load() != 1 {
		t.Errorf("%d drains, %d ends", n.lameDucks.Load(), n.rejoins.Load())
	}
}

// Guards against idle connections, and connections with an incomplete request, that delay the
// answers to others. Many concurrent requests must not delay them either.
func TestIdleConnectionsDoNotDelayOthers(t *testing.T) {
	addr, _ := startServer(t)
	for i := range 8 * MaxConnections {
		dial(t, addr, []string{"", "PIN", strings.Repeat("P", 3000)}[i%3])
	}
	answers := make(chan string)
	for range 4 * MaxConnections {
		go func() { answers <- call(t, addr, "PING\r\n") }()
	}
	for range 4 * MaxConnections {
		if a := <-answers; a != "200 OK\r\n" {
			t.Errorf("answered %q", a)
		}
	}
}

// An idle connection is answered when its timeout expires. The test runs in synctest's fake time,
// and synctest reports any goroutine that is left over.
func TestIdleConnectionIsAnsweredAfterTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(&fakeNode{})
		near, far := net.Pipe()
		startedAt := time.Now()
		s.connSlots <- struct{}{}
		s.wg.Go(func() { s.handle(near); <-s.connSlots })
		_ = near.SetReadDeadline(time.Now().Add(requestTimeout))
		text, _ := bufio.NewReader(far).ReadString('\n')
		if took := time.Since(startedAt); took > requestTimeout+bufferedLineTimeout ||
			!strings.HasPrefix(text, "400 ") {
			t.Errorf("%q after %v", text, took)
		}
		far.Close()
		s.wg.Wait()
	})
}

// Every input gets exactly one answer: 200 for a known request, 400 for anything else.
func FuzzCall(f *testing.F) {
	for _, seed := range []string{
		"PING\r\n", "INFO\n", "LAMEDUCK\r\nREJOIN\r\n", "", "\n", "PING\r\r\n", "4096",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, sent []byte) {
		s := New(&fakeNode{})
		near, far := net.Pipe()
		done := make(chan struct{})
		go func() { defer close(done); s.handle(near) }()
		go func() {
			_, _ = far.Write(sent)
			_ = near.SetReadDeadline(time.Unix(1, 0)) // the end of the input
		}()
		text, _ := bufio.NewReader(far).ReadString('\n')
		far.Close()
		<-done
		call, _, whole := strings.Cut(string(sent), "\n")
		call = strings.TrimRight(call, "\r")
		known := whole && len(call) < 100 &&
			strings.Contains(" PING INFO LAMEDUCK REJOIN ", " "+call+" ") && call != ""
		if known != !strings.HasPrefix(text, "400 ") {
			t.Errorf("%q: answered %q", sent, text)
		}
	})
}
