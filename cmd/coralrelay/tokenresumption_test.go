package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"coralrelay/internal/keyfile"
	"coralrelay/internal/operatorconfig"
	"coralrelay/internal/testsocket"
)

// resumableServer is an upstream with resumable streams.
type resumableServer struct {
	received   chan string  // gets the lines that it receives
	replies    chan string  // is sent to its client; an empty text resets the connection
	rejectsAll *atomic.Bool // with a busy answer
}

func (r resumableServer) serve(conn net.Conn) {
	for lines := bufio.NewScanner(conn); lines.Scan(); {
		switch command, _, _ := strings.Cut(lines.Text(), " "); command {
		case "STATS":
			fmt.Fprint(conn, "PONG inflight=1,x0=0.1,latency_ms=2\r\n")
		case "OPEN":
			if r.rejectsAll.Load() {
				fmt.Fprint(conn, "BUSY\r\n")
				return
			}
			r.received <- lines.Text()
			fmt.Fprint(conn, <-r.replies)
			go r.sendReplies(conn)
		default:
			r.received <- lines.Text()
		}
	}
}

func (r resumableServer) sendReplies(conn net.Conn) {
	for text := range r.replies {
		if text == "" {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			return
		}
		fmt.Fprint(conn, text)
	}
}

// startResumptionNode starts a node with the operator's file, before a resumableServer. The test ends
// after the node, whose store is in a directory of the test.
func startResumptionNode(t *testing.T, operatorFile operatorconfig.File) (addr string, server resumableServer) {
	t.Helper()
	server = resumableServer{make(chan string, 8), make(chan string, 8), new(atomic.Bool)}
	addr, terminate, done := startServe(t, testsocket.Serve(t, server.serve), 1024, operatorFile)
	t.Cleanup(func() {
		terminate()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return addr, server
}

// resumptionEnabled is an operator's file that switches resumption on, with a new key.
func resumptionEnabled(t *testing.T) operatorconfig.File {
	t.Helper()
	operatorFile := operatorconfig.Default()
	operatorFile.Resume.Enabled, operatorFile.Resume.KeyDir = true, filepath.Join(t.TempDir(), "keys")
	operatorFile.Resume.ReplayGuard.Dir = t.TempDir()
	if _, _, err := keyfile.Create(operatorFile.Resume.KeyDir, time.Now().Add(-time.Minute)); err != nil {
		t.Fatal(err)
	}
	return operatorFile
}

func openResumableLine(id, rs string) string {
	return "OPEN " + id + " k1 c=feed,d=1200,g=5c,rs=" + rs + "\r\n"
}

// A client whose upstream breaks off gets a token, resumes with it, and gets a snapshot for the same
// token once more; each starts the upstream's stream.
func TestResumesStreamWithToken(t *testing.T) {
	addr, server := startResumptionNode(t, resumptionEnabled(t))
	openStream := func(id, rs string) (*client, string) {
		t.Helper()
		c := dialClient(t, addr, openResumableLine(id, rs))
		server.replies <- "UP r1 rs=1\r\n"
		if s := <-server.received; !strings.HasSuffix(s, ",g=5c,rs=1") {
			t.Fatalf("the upstream got %q", s)
		}
		if s := c.readLine(); s != "UP r1 rs=1" {
			t.Fatalf("answered %q", s)
		}
		return c, <-server.received
	}
	c, start := openStream("a", "1")
	if start != "START" {
		t.Fatalf("a new client's stream: %q", start)
	}
	server.replies <- "SNAPSHOT c0:40 1\r\nITEM 1 1\r\nUPD 41 1 2\r\n"
	for range 3 {
		c.readLine()
	}
	server.replies <- "" // breaks off
	answer, token, _ := strings.Cut(c.readLine(), " ")
	if answer != "MOVE" || token == "" {
		t.Fatalf("%q %q, want a move with a token", answer, token)
	}
	c, start = openStream("b", token)
	if !strings.HasPrefix(start, "START resume=c0:41 at=") || !strings.Contains(start, " id=") {
		t.Fatalf("with the token: %q", start)
	}
	server.replies <- "RESUMED c0:41\r\nMOVE\r\n" // it drains, and migrates its clients itself
	c.readLine()
	if answer, next, _ := strings.Cut(c.readLine(), " "); answer != "MOVE" || next == "" || next == token {
		t.Fatalf("%q %q, want a move with a token of its own", answer, next)
	}
	server.replies <- ""
	if _, start = openStream("c", token); !strings.HasPrefix(start, "START after=c0:41 at=") {
		t.Fatalf("with a spent token: %q", start)
	}
	server.replies <- ""
	if _, start = openStream("d", "no-token"); start != "START" {
		t.Fatalf("with what is no token: %q", start)
	}
}

// A busy answer leaves the token unspent: it is redeemed only once an upstream has accepted.
func TestBusyLeavesTokenUnspent(t *testing.T) {
	addr, server := startResumptionNode(t, resumptionEnabled(t))
	c := dialClient(t, addr, openResumableLine("a", "1"))
	server.replies <- "UP r1 rs=1\r\n"
	c.readLine()
	<-server.received
	<-server.received
	server.replies <- "RESUMED c0:41\r\n"
	c.readLine()
	server.replies <- ""
	_, token, _ := strings.Cut(c.readLine(), " ")
	server.rejectsAll.Store(true)
	if s := dialClient(t, addr, openResumableLine("b", token)).readLine(); !strings.HasPrefix(s, "BUSY") {
		t.Fatalf("answered %q", s)
	}
	server.rejectsAll.Store(false)
	c = dialClient(t, addr, openResumableLine("c", token))
	server.replies <- "UP r1 rs=1\r\n"
	c.readLine()
	<-server.received
	if start := <-server.received; !strings.HasPrefix(start, "START resume=c0:41 ") {
		t.Errorf("the token after a busy answer: %q", start)
	}
}

// A replay guard that can't be opened does not keep the node from serving.
func TestServesWithoutReplayGuard(t *testing.T) {
	operatorFile := resumptionEnabled(t)
	operatorFile.Resume.ReplayGuard.Dir = filepath.Join(operatorFile.Resume.KeyDir, "nowhere")
	if err := os.WriteFile(operatorFile.Resume.ReplayGuard.Dir, nil, 0o600); err != nil { // a file stands in its place
		t.Fatal(err)
	}
	addr, server := startResumptionNode(t, operatorFile)
	c := dialClient(t, addr, openResumableLine("a", "1"))
	server.replies <- "UP r1 rs=1\r\n"
	c.readLine()
	<-server.received
	<-server.received
	server.replies <- "RESUMED c0:41\r\nMOVE\r\n"
	c.readLine()
	if s := c.readLine(); s != "MOVE" { // nobody could arbitrate a token
		t.Errorf("moved with %q", s)
	}
	server.replies <- ""
}

// Where resumption is off, or was not requested, nothing on any socket differs; an upstream without
// such streams gets no START.
func TestResumptionOffChangesNothing(t *testing.T) {
	on := resumptionEnabled(t)
	for name, c := range map[string]struct {
		operatorFile operatorconfig.File
		list         string
		up           string
	}{
		"off":          {operatorconfig.Default(), "c=feed,d=1200,rs=TOKEN,g=5c", "UP r1 rs=1"},
		"not asked":    {on, "c=feed,d=1200,g=5c", "UP r1"},
		"old upstream": {on, "c=feed,d=1200,g=5c,rs=1", "UP r1"},
	} {
		t.Run(name, func(t *testing.T) {
			addr, server := startResumptionNode(t, c.operatorFile)
			client := dialClient(t, addr, "OPEN a k1 "+c.list+"\r\n")
			server.replies <- c.up + "\r\n"
			got := <-server.received
			before, after, _ := strings.Cut(c.list, "d=1200")
			if !strings.HasPrefix(got, "OPEN a k1 "+before+"d=") || !strings.HasSuffix(got, after) {
				t.Errorf("the upstream got %q", got)
			}
			if s := client.readLine(); s != c.up {
				t.Errorf("answered %q", s)
			}
			server.replies <- "UPD 3 1 1\r\nMOVE\r\n"
			if s := client.readLine(); s != "UPD 3 1 1" {
				t.Errorf("relayed %q", s)
			}
			if s := client.readLine(); s != "MOVE" {
				t.Errorf("moved with %q", s)
			}
			select {
			case s := <-server.received:
				t.Errorf("the upstream got %q too", s)
			default:
			}
			server.replies <- ""
		})
	}
}
