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

// resumableUpstream is an upstream with resumable streams.
type resumableUpstream struct {
	received   chan string  // the lines that the upstream receives
	replies    chan string  // the texts that it sends; an empty text resets the connection
	rejectsAll *atomic.Bool // rejects each OPEN with BUSY
}

func (r resumableUpstream) serve(conn net.Conn) {
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

func (r resumableUpstream) sendReplies(conn net.Conn) {
	for text := range r.replies {
		if text == "" {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			return
		}
		fmt.Fprint(conn, text)
	}
}

// startResumptionNode starts a node with the operator's file and a resumableUpstream. The node is
// terminated before the test ends, because its store is in a directory of the test.
func startResumptionNode(
	t *testing.T, operatorFile operatorconfig.File,
) (addr string, upstream resumableUpstream) {
	t.Helper()
	upstream = resumableUpstream{make(chan string, 8), make(chan string, 8), new(atomic.Bool)}
	addr, terminate, done := startServe(t, testsocket.Serve(t, upstream.serve), 1024, operatorFile)
	t.Cleanup(func() {
		terminate()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return addr, upstream
}

// resumptionOperatorFile returns an operator's file that enables resumption with a new key.
func resumptionOperatorFile(t *testing.T) operatorconfig.File {
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

// A client whose upstream connection breaks gets a token and resumes the stream with it. A second use of
// the same token gets a snapshot. Each of these requests starts a stream at the upstream.
func TestResumesStreamWithToken(t *testing.T) {
	addr, upstream := startResumptionNode(t, resumptionOperatorFile(t))
	openStream := func(id, rs string) (*client, string) {
		t.Helper()
		c := dialClient(t, addr, openResumableLine(id, rs))
		upstream.replies <- "UP r1 rs=1\r\n"
		if s := <-upstream.received; !strings.HasSuffix(s, ",g=5c,rs=1") {
			t.Fatalf("the upstream got %q", s)
		}
		if s := c.readLine(); s != "UP r1 rs=1" {
			t.Fatalf("answered %q", s)
		}
		return c, <-upstream.received
	}
	c, start := openStream("a", "1")
	if start != "START" {
		t.Fatalf("the stream of a new client: %q", start)
	}
	upstream.replies <- "SNAPSHOT c0:40 1\r\nITEM 1 1\r\nUPD 41 1 2\r\n"
	for range 3 {
		c.readLine()
	}
	upstream.replies <- "" // resets the connection
	answer, token, _ := strings.Cut(c.readLine(), " ")
	if answer != "MOVE" || token == "" {
		t.Fatalf("%q %q, want MOVE with a token", answer, token)
	}
	c, start = openStream("b", token)
	if !strings.HasPrefix(start, "START resume=c0:41 at=") || !strings.Contains(start, " id=") {
		t.Fatalf("the stream with the token: %q", start)
	}
	upstream.replies <- "RESUMED c0:41\r\nMOVE\r\n" // the upstream drains and migrates its clients itself
	c.readLine()
	if answer, next, _ := strings.Cut(c.readLine(), " "); answer != "MOVE" || next == "" || next == token {
		t.Fatalf("%q %q, want MOVE with a new token", answer, next)
	}
	upstream.replies <- ""
	if _, start = openStream("c", token); !strings.HasPrefix(start, "START after=c0:41 at=") {
		t.Fatalf("the stream with a spent token: %q", start)
	}
	upstream.replies <- ""
	if _, start = openStream("d", "no-token"); start != "START" {
		t.Fatalf("the stream with a malformed token: %q", start)
	}
}

// A BUSY answer leaves the token unspent: a token is redeemed only after an upstream has accepted the
// session.
func TestBusyLeavesTokenUnspent(t *testing.T) {
	addr, upstream := startResumptionNode(t, resumptionOperatorFile(t))
	c := dialClient(t, addr, openResumableLine("a", "1"))
	upstream.replies <- "UP r1 rs=1\r\n"
	c.readLine()
	<-upstream.received
	<-upstream.received
	upstream.replies <- "RESUMED c0:41\r\n"
	c.readLine()
	upstream.replies <- ""
	_, token, _ := strings.Cut(c.readLine(), " ")
	upstream.rejectsAll.Store(true)
	if s := dialClient(t, addr, openResumableLine("b", token)).readLine(); !strings.HasPrefix(s, "BUSY") {
		t.Fatalf("answered %q", s)
	}
	upstream.rejectsAll.Store(false)
	c = dialClient(t, addr, openResumableLine("c", token))
	upstream.replies <- "UP r1 rs=1\r\n"
	c.readLine()
	<-upstream.received
	if start := <-upstream.received; !strings.HasPrefix(start, "START resume=c0:41 ") {
		t.Errorf("the stream with the token after BUSY: %q", start)
	}
}

// A node whose replay guard can't be opened still serves.
func TestServesWithoutReplayGuard(t *testing.T) {
	operatorFile := resumptionOperatorFile(t)
	operatorFile.Resume.ReplayGuard.Dir = filepath.Join(operatorFile.Resume.KeyDir, "nowhere")
	if err := os.WriteFile(operatorFile.Resume.ReplayGuard.Dir, nil, 0o600); err != nil { // not a directory
		t.Fatal(err)
	}
	addr, upstream := startResumptionNode(t, operatorFile)
	c := dialClient(t, addr, openResumableLine("a", "1"))
	upstream.replies <- "UP r1 rs=1\r\n"
	c.readLine()
	<-upstream.received
	<-upstream.received
	upstream.replies <- "RESUMED c0:41\r\nMOVE\r\n"
	c.readLine()
	if s := c.readLine(); s != "MOVE" { // without a token, for which there would be no arbiter
		t.Errorf("answered %q, want MOVE without a token", s)
	}
	upstream.replies <- ""
}

// If resumption is disabled or not requested, nothing that is sent on any connection changes. An upstream
// without resumable streams gets no START.
func TestResumptionOffChangesNothing(t *testing.T) {
	on := resumptionOperatorFile(t)
	for name, c := range map[string]struct {
		operatorFile operatorconfig.File
		list         string
		up           string
	}{
		"off":           {operatorconfig.Default(), "c=feed,d=1200,rs=TOKEN,g=5c", "UP r1 rs=1"},
		"not requested": {on, "c=feed,d=1200,g=5c", "UP r1"},
		"old upstream":  {on, "c=feed,d=1200,g=5c,rs=1", "UP r1"},
	} {
		t.Run(name, func(t *testing.T) {
			addr, upstream := startResumptionNode(t, c.operatorFile)
			client := dialClient(t, addr, "OPEN a k1 "+c.list+"\r\n")
			upstream.replies <- c.up + "\r\n"
			got := <-upstream.received
			before, after, _ := strings.Cut(c.list, "d=1200")
			if !strings.HasPrefix(got, "OPEN a k1 "+before+"d=") || !strings.HasSuffix(got, after) {
				t.Errorf("the upstream got %q", got)
			}
			if s := client.readLine(); s != c.up {
				t.Errorf("answered %q", s)
			}
			upstream.replies <- "UPD 3 1 1\r\nMOVE\r\n"
			if s := client.readLine(); s != "UPD 3 1 1" {
				t.Errorf("relayed %q", s)
			}
			if s := client.readLine(); s != "MOVE" {
				t.Errorf("answered %q, want MOVE without a token", s)
			}
			select {
			case s := <-upstream.received:
				t.Errorf("the upstream also got %q", s)
			default:
			}
			upstream.replies <- ""
		})
	}
}
