package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// process is the node's program, started as the platform does.
type process struct {
	*exec.Cmd
	t         *testing.T
	adminAddr string
	log       *bytes.Buffer // to be read after its end
	exited    chan error
}

// start starts one; inherited, if there is one, becomes its descriptor 4.
func startProcess(t *testing.T, path, tmp string, inherited *os.File, args ...string) *process {
	t.Helper()
	p := &process{Cmd: exec.Command(os.Args[0], args...), t: t, adminAddr: freeAddr(t), log: &bytes.Buffer{}, exited: make(chan error, 1)}
	p.Env = append(os.Environ(), "BALANCER_CONFIG="+path, "BALANCER_MGMT="+p.adminAddr, "TMPDIR="+tmp, "GORACE=atexit_sleep_ms=0")
	if inherited != nil {
		p.Env = append(p.Env, "BALANCER_INHERITED_FD=4")
		p.ExtraFiles = []*os.File{nil, inherited}
	}
	p.Stderr = p.log
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.exited <- p.Wait() }()
	t.Cleanup(func() { _ = p.Process.Kill() })
	return p
}

// started is a process that serves, and what its next hop got of first lines.
func startServingNode(t *testing.T, sockets int) (p *process, addr, path string, got *atomic.Int32) {
	t.Helper()
	got = &atomic.Int32{}
	upstreamAddr := listen(t, serveUpstream(got))
	addr, path = freeAddr(t), filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, addr, startDiscovery(t, upstreamAddr), upstreamAddr, sockets)
	p = startProcess(t, path, t.TempDir(), nil)
	p.untilAnswer("PING", "200")
	return p, addr, path, got
}

// held is the clients' listening socket, as the platform holds it.
func listeningSocket(t *testing.T) (addr string, file *os.File) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	file, err = l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	l.Close() // the copy stays open
	t.Cleanup(func() { file.Close() })
	return l.Addr().String(), file
}

// ask makes one call of an operator's.
func (p *process) adminCall(call string) string {
	conn, err := net.Dial("tcp", p.adminAddr)
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprint(conn, call+"\r\n")
	all, err := io.ReadAll(conn)
	if err != nil {
		return err.Error()
	}
	return string(all)
}

// until asks until the answer begins as wanted.
func (p *process) untilAnswer(call, want string) {
	p.t.Helper()
	for begun := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		got := p.adminCall(call)
		if strings.HasPrefix(got, want) {
			return
		}
		if time.Since(begun) > testTimeout {
			p.t.Fatalf("%s: %q, want %q", call, got, want)
		}
	}
}

// untilHas asks for the figures until they hold a text.
func (p *process) untilMetrics(text string) {
	p.t.Helper()
	for begun := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		got := p.adminCall("INFO")
		if strings.Contains(got, text) && strings.HasSuffix(got, "EOF\r\n") {
			return
		}
		if time.Since(begun) > testTimeout {
			p.t.Fatalf("figures:\n%swant:\n%s", got, text)
		}
	}
}

func (p *process) signal(s os.Signal) {
	p.t.Helper()
	if err := p.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// movesAndEnds has it end: what stands is moved, and it ends in good order.
func (p *process) expectMoveAndExit(session *client) {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	if s := session.readLine(); s != "MOVE" {
		p.t.Errorf("at the end: %q", s)
	}
	if err := p.awaitExit(testTimeout); err != nil {
		p.t.Errorf("it ended with %v\n%s", err, p.log)
	}
}

func (p *process) awaitExit(timeout time.Duration) error {
	p.t.Helper()
	select {
	case err := <-p.exited:
		return err
	case <-time.After(timeout):
		p.t.Fatalf("it has not ended within %v", timeout)
		return nil
	}
}
