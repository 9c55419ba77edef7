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
type resumable struct {
	asked chan string
	say   chan string
	full  *atomic.Bool // turns all away
}

func (r resumable) serve(conn net.Conn) {
	for lines := bufio.NewScanner(conn); lines.Scan(); {
		switch word, _, _ := strings.Cut(lines.Text(), " "); word {
		case "STATS":
			fmt.Fprint(conn, "PONG inflight=1,x0=0.1,latency_ms=2\r\n")
		case "OPEN":
			if r.full.Load() {
				fmt.Fprint(conn, "BUSY\r\n")
				return
			}
			r.asked <- lines.Text()
			fmt.Fprint(conn, <-r.say)
			go func() {
				for text := range r.say {
					if text == "" {
						conn.(*net.TCPConn).SetLinger(0)
						conn.Close()
						return
					}
					fmt.Fprint(conn, text)
				}
			}()
		default:
			r.asked <- lines.Text()
		}
	}
}

// resumeNode starts a node with the operator's file, before a resumable next hop.
func resumeNode(t *testing.T, own operatorconfig.File) (addr string, hop resumable, terminate context.CancelFunc) {
	t.Helper()
	hop = resumable{make(chan string, 8), make(chan string, 8), new(atomic.Bool)}
	discovery := listen(t, func(conn net.Conn) { io.Copy(io.Discard, conn) })
	addr = free(t)
	path := filepath.Join(t.TempDir(), "config.json")
	configure(t, path, addr, discovery, listen(t, hop.serve), 1024)
	c, err := config.Load(func(name string) string { return map[string]string{"BALANCER_CONFIG": path}[name] })
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- serve(ctx, nil, c, own, "") }()
	t.Cleanup(func() { cancel(); <-done })
	ready(t, addr)
	return addr, hop, cancel
}

func switchedOn(t *testing.T) operatorconfig.File {
	t.Helper()
	own := operatorconfig.Default()
	own.Resume.Enabled, own.Resume.Keys = true, filepath.Join(t.TempDir(), "keys")
	own.Resume.ReplayGuard.Dir = t.TempDir()
	if _, _, err := keyfile.Create(own.Resume.Keys, time.Now().Add(-time.Minute)); err != nil {
		t.Fatal(err)
	}
	return own
}

func openResumable(id, rs string) string {
	return "OPEN " + id + " k1 c=feed,d=1200,g=5c,rs=" + rs + "\r\n"
}

// A client whose next hop breaks off is given a token, goes on with it, and gets a
// snapshot for the same token once more; each starts the next hop's stream.
func TestResumes(t *testing.T) {
	addr, hop, _ := resumeNode(t, switchedOn(t))
	up := func(id, rs string) (*client, string) {
		t.Helper()
		c := call(t, addr, openResumable(id, rs))
		hop.say <- "UP r1 rs=1\r\n"
		if s := <-hop.asked; !strings.HasSuffix(s, ",g=5c,rs=1") {
			t.Fatalf("the next hop got %q", s)
		}
		if s := c.line(); s != "UP r1 rs=1" {
			t.Fatalf("answered %q", s)
		}
		return c, <-hop.asked
	}
	c, start := up("a", "1")
	if start != "START" {
		t.Fatalf("a new client's stream: %q", start)
	}
	hop.say <- "SNAPSHOT c0:40 1\r\nITEM 1 1\r\nUPD 41 1 2\r\n"
	for range 3 {
		c.line()
	}
	hop.say <- "" // breaks off
	word, token, _ := strings.Cut(c.line(), " ")
	if word != "MOVE" || token == "" {
		t.Fatalf("%q %q, want a move with a token", word, token)
	}
	c, start = up("b", token)
	if !strings.HasPrefix(start, "START resume=c0:41 at=") || !strings.Contains(start, " id=") {
		t.Fatalf("with the token: %q", start)
	}
	hop.say <- "RESUMED c0:41\r\nMOVE\r\n" // drains, and sends its clients away itself
	c.line()
	if word, next, _ := strings.Cut(c.line(), " "); word != "MOVE" || next == "" || next == token {
		t.Fatalf("%q %q, want a move with a token of its own", word, next)
	}
	hop.say <- ""
	if _, start = up("c", token); !strings.HasPrefix(start, "START after=c0:41 at=") {
		t.Fatalf("with a spent token: %q", start)
	}
	hop.say <- ""
	if _, start = up("d", "no-token"); start != "START" {
		t.Fatalf("with what is no token: %q", start)
	}
}

// A busy answer leaves the token unspent: redeemed is only what a next hop took.
func TestBusyLeavesTokenUnspent(t *testing.T) {
	addr, hop, _ := resumeNode(t, switchedOn(t))
	c := call(t, addr, openResumable("a", "1"))
	hop.say <- "UP r1 rs=1\r\n"
	c.line()
	<-hop.asked
	<-hop.asked
	hop.say <- "RESUMED c0:41\r\n"
	c.line()
	hop.say <- ""
	_, token, _ := strings.Cut(c.line(), " ")
	hop.full.Store(true)
	if s := call(t, addr, openResumable("b", token)).line(); !strings.HasPrefix(s, "BUSY") {
		t.Fatalf("answered %q", s)
	}
	hop.full.Store(false)
	c = call(t, addr, openResumable("c", token))
	hop.say <- "UP r1 rs=1\r\n"
	c.line()
	<-hop.asked
	if start := <-hop.asked; !strings.HasPrefix(start, "START resume=c0:41 ") {
		t.Errorf("the token after a busy answer: %q", start)
	}
}

// A ledger that can't be opened does not keep the node from serving.
func TestServesWithoutLedger(t *testing.T) {
	own := switchedOn(t)
	own.Resume.ReplayGuard.Dir = filepath.Join(own.Resume.Keys, "nowhere")
	if err := os.WriteFile(own.Resume.ReplayGuard.Dir, nil, 0o600); err != nil { // a file stands in its place
		t.Fatal(err)
	}
	addr, hop, _ := resumeNode(t, own)
	c := call(t, addr, openResumable("a", "1"))
	hop.say <- "UP r1 rs=1\r\n"
	c.line()
	<-hop.asked
	<-hop.asked
	hop.say <- "RESUMED c0:41\r\nMOVE\r\n"
	c.line()
	if s := c.line(); s != "MOVE" { // nobody could arbitrate a token
		t.Errorf("moved with %q", s)
	}
	hop.say <- ""
}

// Where it is off, or was not asked for, nothing on any socket is other than
// before; a next hop without such streams gets no START.
func TestOffChangesNothing(t *testing.T) {
	on := switchedOn(t)
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
			addr, hop, _ := resumeNode(t, c.own)
			caller := call(t, addr, "OPEN a k1 "+c.list+"\r\n")
			hop.say <- c.up + "\r\n"
			got := <-hop.asked
			before, after, _ := strings.Cut(c.list, "d=1200")
			if !strings.HasPrefix(got, "OPEN a k1 "+before+"d=") || !strings.HasSuffix(got, after) {
				t.Errorf("the next hop got %q", got)
			}
			if s := caller.line(); s != c.up {
				t.Errorf("answered %q", s)
			}
			hop.say <- "UPD 3 1 1\r\nMOVE\r\n"
			if s := caller.line(); s != "UPD 3 1 1" {
				t.Errorf("relayed %q", s)
			}
			if s := caller.line(); s != "MOVE" {
				t.Errorf("moved with %q", s)
			}
			select {
			case s := <-hop.asked:
				t.Errorf("the next hop got %q too", s)
			default:
			}
			hop.say <- ""
		})
	}
}
