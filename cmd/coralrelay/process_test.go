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

	"coralrelay/internal/testsocket"
)

// process is the node's program, started as the platform starts it.
type process struct {
	*exec.Cmd
	t         *testing.T
	adminAddr string
	log       *bytes.Buffer // must only be read after the process has exited
	exited    chan error
}

// startProcess starts a process. If inherited is not nil, it becomes the process's descriptor 4.
func startProcess(t *testing.T, path, tmp string, inherited *os.File, args ...string) *process {
	t.Helper()
	p := &process{
		Cmd:       exec.Command(os.Args[0], args...),
		t:         t,
		adminAddr: freeAddr(t),
		log:       &bytes.Buffer{},
		exited:    make(chan error, 1),
	}
	p.Env = append(os.Environ(),
		"BALANCER_CONFIG="+path, "BALANCER_MGMT="+p.adminAddr, "TMPDIR="+tmp, "GORACE=atexit_sleep_ms=0")
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

// startServingNode starts a process and waits until it serves. firstLines counts the first lines that its
// upstream receives.
func startServingNode(t *testing.T, sockets int) (p *process, addr, path string, firstLines *atomic.Int32) {
	t.Helper()
	firstLines = &atomic.Int32{}
	upstreamAddr := testsocket.Serve(t, serveUpstream(firstLines))
	addr, path = freeAddr(t), filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, addr, startDiscovery(t, upstreamAddr), upstreamAddr, sockets)
	p = startProcess(t, path, t.TempDir(), nil)
	p.untilAnswer("PING", "200")
	return p, addr, path, firstLines
}

// listeningSocket opens a listening socket for clients, as the platform does, and returns its descriptor as a
// file.
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

// sharedSocket is a node whose listening socket the platform holds, so that one process can succeed another.
type sharedSocket struct {
	t                             *testing.T
	addr, discovery, upstreamAddr string
	file                          *os.File
	path, tmp                     string
}

func newSharedSocket(t *testing.T, sockets int) *sharedSocket {
	t.Helper()
	s := &sharedSocket{t: t, upstreamAddr: testsocket.Serve(t, serveUpstream(&atomic.Int32{})), tmp: t.TempDir()}
	s.discovery = startDiscovery(t, s.upstreamAddr)
	s.addr, s.file = listeningSocket(t)
	s.path = filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, s.path, s.addr, s.discovery, s.upstreamAddr, sockets)
	return s
}

// start starts a process of the node.
func (s *sharedSocket) start(args ...string) *process {
	s.t.Helper()
	return startProcess(s.t, s.path, s.tmp, s.file, args...)
}

// startServing starts a process of the node and waits until it serves.
func (s *sharedSocket) startServing(args ...string) *process {
	s.t.Helper()
	p := s.start(args...)
	p.untilAnswer("PING", "200")
	return p
}

// adminCall sends one call to the admin server, and returns the answer or the text of an error.
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

// untilAnswer repeats a call until the answer begins with want.
func (p *process) untilAnswer(call, want string) {
	p.t.Helper()
	for start := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		got := p.adminCall(call)
		if strings.HasPrefix(got, want) {
			return
		}
		if time.Since(start) > testTimeout {
			p.t.Fatalf("%s: %q, want %q", call, got, want)
		}
	}
}

// untilMetrics reads the metrics until they contain text.
func (p *process) untilMetrics(text string) {
	p.t.Helper()
	for start := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		got := p.adminCall("INFO")
		if strings.Contains(got, text) && strings.HasSuffix(got, "EOF\r\n") {
			return
		}
		if time.Since(start) > testTimeout {
			p.t.Fatalf("metrics:\n%swant:\n%s", got, text)
		}
	}
}

func (p *process) signal(s os.Signal) {
	p.t.Helper()
	if err := p.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// expectMoveAndExit terminates the process, and requires that the session is migrated and that the
// process exits without an error.
func (p *process) expectMoveAndExit(session *client) {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	if s := session.readLine(); s != "MOVE" {
		p.t.Errorf("the session at SIGTERM: %q", s)
	}
	p.expectExit()
}

// expectExit requires that the process exits without an error and has not logged a violated invariant.
func (p *process) expectExit() {
	p.t.Helper()
	if err := p.awaitExit(testTimeout); err != nil || strings.Contains(p.log.String(), "invariant violated") {
		p.t.Errorf("the process exited with %v\n%s", err, p.log)
	}
}

func (p *process) awaitExit(timeout time.Duration) error {
	p.t.Helper()
	select {
	case err := <-p.exited:
		return err
	case <-time.After(timeout):
		p.t.Fatalf("the process has not exited within %v", timeout)
		return nil
	}
}

// expectLogged requires that the log of the exited process contains the texts.
func (p *process) expectLogged(texts ...string) {
	p.t.Helper()
	for _, text := range texts {
		if !strings.Contains(p.log.String(), text) {
			p.t.Errorf("the log does not contain %s:\n%s", text, p.log)
		}
	}
}
