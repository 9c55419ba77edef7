package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"coralrelay/internal/config"
	"coralrelay/internal/keyfile"
	"coralrelay/internal/operatorconfig"
)

// resumable is a feed server with resumable streams: what it is asked goes to
// asked, what is put into say goes to its client.
type resumableServer struct {
	received   chan string
	replies    chan string
	rejectsAll *atomic.Bool // turns all away
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
			go func() {
				for text := range r.replies {
					if text == "" {
						_ = conn.(*net.TCPConn).SetLinger(0)
						conn.Close()
						return
					}
					fmt.Fprint(conn, text)
				}
			}()
		default:
			r.received <- lines.Text()
		}
	}
}

// resumeNode starts a node with the operator's file, before a resumable next hop.
func startResumptionNode(t *testing.T, operatorFile operatorconfig.File) (addr string, server resumableServer, terminate context.CancelFunc) {
	t.Helper()
	server = resumableServer{make(chan string, 8), make(chan string, 8), new(atomic.Bool)}
	discovery := listen(t, func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
	addr = freeAddr(t)
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, addr, discovery, listen(t, server.serve), 1024)
	c, err := config.Load(func(name string) string { return map[string]string{"BALANCER_CONFIG": path}[name] })
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- serve(ctx, nil, c, operatorFile, "") }()
	t.Cleanup(func() { cancel(); <-done })
	awaitListening(t, addr)
	return addr, server, cancel
}

func resumptionEnabled(t *testing.T) operatorconfig.File {
	t.Helper()
	operatorFile := operatorconfig.Default()
	operatorFile.Resume.Enabled, operatorFile.Resume.Keys = true, filepath.Join(t.TempDir(), "keys")
	operatorFile.Resume.ReplayGuard.Dir = t.TempDir()
	if _, _, err := keyfile.Create(operatorFile.Resume.Keys, time.Now().Add(-time.Minute)); err != nil {
		t.Fatal(err)
	}
	return operatorFile
}

func openResumableLine(id, rs string) string {
	return "OPEN " + id + " k1 c=feed,d=1200,g=5c,rs=" + rs + "\r\n"
}

// A client whose next hop breaks off is given a token, goes on with it, and gets a
// snapshot for the same token once more; each starts the next hop's stream.
func TestResumesStreamWithToken(t *testing.T) {
	addr, server, _ := startResumptionNode(t, resumptionEnabled(t))
	openStream := func(id, rs string) (*client, string) {
		t.Helper()
		c := dialClient(t, addr, openResumableLine(id, rs))
		server.replies <- "UP r1 rs=1\r\n"
		if s := <-server.received; !strings.HasSuffix(s, ",g=5c,rs=1") {
			t.Fatalf("the next hop got %q", s)
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
	server.replies <- "RESUMED c0:41\r\nMOVE\r\n" // drains, and sends its clients away itself
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

// A busy answer leaves the token unspent: redeemed is only what a next hop took.
func TestBusyLeavesTokenUnspent(t *testing.T) {
	addr, server, _ := startResumptionNode(t, resumptionEnabled(t))
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

// A ledger that can't be opened does not keep the node from serving.
func TestServesWithoutReplayGuard(t *testing.T) {
	operatorFile := resumptionEnabled(t)
	operatorFile.Resume.ReplayGuard.Dir = filepath.Join(operatorFile.Resume.Keys, "nowhere")
	if err := os.WriteFile(operatorFile.Resume.ReplayGuard.Dir, nil, 0o600); err != nil { // a file stands in its place
		t.Fatal(err)
	}
	addr, server, _ := startResumptionNode(t, operatorFile)
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

// Where it is off, or was not asked for, nothing on any socket is other than
// before; a next hop without such streams gets no START.
func TestResumptionOffChangesNothing(t *testing.T) {
	on := resumptionEnabled(t)
	for name, c := range map[string]struct {
		own  operatorconfig.File
		list string
		up   string
	}{
		"off":       {operatorconfig.Default(), "c=feed,d=1200,rs=TOKEN,g=5c", "UP r1 rs=1"},
		"not asked": {on, "c=feed,d=1200,g=5c", "UP r1"},
		"old hop":   {on, "c=feed,d=1200,g=5c,rs=1", "UP r1"},
	} {
		t.Run(name, func(t *testing.T) {
			addr, server, _ := startResumptionNode(t, c.own)
			client := dialClient(t, addr, "OPEN a k1 "+c.list+"\r\n")
			server.replies <- c.up + "\r\n"
			got := <-server.received
			before, after, _ := strings.Cut(c.list, "d=1200")
			if !strings.HasPrefix(got, "OPEN a k1 "+before+"d=") || !strings.HasSuffix(got, after) {
				t.Errorf("the next hop got %q", got)
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
				t.Errorf("the next hop got %q too", s)
			default:
			}
			server.replies <- ""
		})
	}
}
