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
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"coralrelay/internal/fake"
)

// process is the node's program, started as the platform does.
type process struct {
	*exec.Cmd
	t    *testing.T
	mgmt string
	log  *bytes.Buffer // to be read after its end
	end  chan error
}

// start starts one; inherited, if there is one, becomes its descriptor 4.
func startProcess(t *testing.T, path, tmp string, inherited *os.File, args ...string) *process {
	t.Helper()
	p := &process{Cmd: exec.Command(os.Args[0], args...), t: t, mgmt: free(t), log: &bytes.Buffer{}, end: make(chan error, 1)}
	p.Env = append(os.Environ(), "BALANCER_CONFIG="+path, "BALANCER_MGMT="+p.mgmt, "TMPDIR="+tmp, "GORACE=atexit_sleep_ms=0")
	if inherited != nil {
		p.Env = append(p.Env, "BALANCER_INHERITED_FD=4")
		p.ExtraFiles = []*os.File{nil, inherited}
	}
	p.Stderr = p.log
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.end <- p.Wait() }()
	t.Cleanup(func() { _ = p.Process.Kill() })
	return p
}

// ask makes one call of an operator's.
func (p *process) ask(call string) string {
	conn, err := net.Dial("tcp", p.mgmt)
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprint(conn, call+"\r\n")
	all, err := io.ReadAll(conn)
	if err != nil {
		return err.Error()
	}
	return string(all)
}

// until asks until the answer begins as wanted.
func (p *process) until(call, want string) {
	p.t.Helper()
	for begun := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		got := p.ask(call)
		if strings.HasPrefix(got, want) {
			return
		}
		if time.Since(begun) > patience {
			p.t.Fatalf("%s: %q, want %q", call, got, want)
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
func (p *process) movesAndEnds(standing *client) {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	if s := standing.line(); s != "MOVE" {
		p.t.Errorf("at the end: %q", s)
	}
	if err := p.ends(patience); err != nil {
		p.t.Errorf("it ended with %v\n%s", err, p.log)
	}
}

func (p *process) ends(within time.Duration) error {
	p.t.Helper()
	select {
	case err := <-p.end:
		return err
	case <-time.After(within):
		p.t.Fatalf("it has not ended within %v", within)
		return nil
	}
}

// held is the clients' listening socket, as the platform holds it.
func held(t *testing.T) (addr string, file *os.File) {
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

// names is a discovery that names one next hop.
func names(t *testing.T, hop string) string {
	t.Helper()
	r := fake.NewDiscovery()
	r.Set("s1", fake.Active, time.Time{}, map[string]string{"n0": hop})
	addr, err := r.Listen("n0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return addr
}

// A successor takes over while clients keep coming: nobody is turned away or left
// unread at the door, who said nothing yet is still served, what stands goes on at the
// successor as if nothing had been, and the old process ends in its time.
func TestReplaced(t *testing.T) {
	var got atomic.Int32
	hop := listen(t, nextHop(&got))
	discovery := names(t, hop)
	addr, file := held(t)
	dir, tmp := t.TempDir(), t.TempDir()
	if err := os.WriteFile(filepath.Join(tmp, "coralrelay-"+strings.ReplaceAll(addr, ":", "-")), bytes.Repeat([]byte("stale"), 20), 0o600); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "config.json")
	configure(t, path, addr, discovery, hop, 256)
	old := startProcess(t, path, tmp, file)
	old.until("PING", "200")
	var standing []*client
	for i := range 20 {
		c := call(t, addr, open(fmt.Sprint("a", i)))
		if s := c.line(); s != "UP r1" {
			t.Fatalf("connection %d: %q", i, s)
		}
		standing = append(standing, c)
	}

	next := startProcess(t, path, tmp, file)
	next.until("PING", "200")
	var served sync.WaitGroup
	stop := make(chan struct{})
	for n := range 4 { // clients come all the time, some of them in no hurry
		served.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("b%d.%d", n, i)
				c := call(t, addr, "")
				if n > 0 {
					time.Sleep(time.Duration(n) * 20 * time.Millisecond)
				}
				fmt.Fprint(c, open(id))
				if s, err := c.r.ReadString('\n'); s != "UP r1\r\n" {
					t.Errorf("%s was answered %q, %v", id, s, err)
				}
				c.Close()
			}
		})
	}
	begun := time.Now()
	for i, p := range []*process{old, next, old, next, old, old, next, old} { // a storm beside it
		if i == 3 {
			old.signal(syscall.SIGTERM)
		}
		p.signal(syscall.SIGHUP)
	}
	old.until("PING", "400")
	halves := func(from, to int, text string) { // some are in the middle of a line
		for _, c := range standing[from:to] {
			fmt.Fprint(c, text)
		}
	}
	halves(0, 5, "are you")
	if err := old.ends(patience); err != nil {
		t.Errorf("the old one ended with %v\n%s", err, old.log)
	}
	if took, most := time.Since(begun), 1900*time.Millisecond; took > most {
		t.Errorf("it took %v, want at most %v", took, most)
	}
	close(stop)
	served.Wait()
	halves(0, 5, " there\r\n")
	halves(5, 20, "are you there\r\n")
	for i, c := range standing {
		if s := c.line(); s != "yes" {
			t.Errorf("standing connection %d: %q", i, s)
		}
	}
	if s := call(t, addr, open("a0")).line(); s != "ERR" {
		t.Errorf("the id of a connection that was handed over: %q", s)
	}
	next.untilHas("balancer.open_requests:20|g\r\n")
	if s := call(t, addr, open("c")).line(); s != "UP r1" {
		t.Errorf("at the successor: %q", s)
	}
	if s := next.ask("PING"); s != "200 OK\r\n" {
		t.Errorf("the successor says %q", s)
	}
}

// A successor that can't be one harms nobody: the old process serves on, also if the
// other died without a word, and takes the next one.
func TestSuccessorFails(t *testing.T) {
	var got atomic.Int32
	hop := listen(t, nextHop(&got))
	discovery := names(t, hop)
	addr, file := held(t)
	dir, tmp := t.TempDir(), t.TempDir()
	path := filepath.Join(dir, "config.json")
	configure(t, path, addr, discovery, hop, 256)
	old := startProcess(t, path, tmp, file)
	old.until("PING", "200")
	c := call(t, addr, open("a"))
	if s := c.line(); s != "UP r1" {
		t.Fatal(s)
	}
	sound := func(when string) {
		t.Helper()
		fmt.Fprint(c, "are you there\r\n")
		if s := c.line(); s != "yes" {
			t.Errorf("%s: relayed %q", when, s)
		}
		if s := call(t, addr, open(when)).line(); s != "UP r1" {
			t.Errorf("%s: a new caller: %q", when, s)
		}
	}

	plain, err := os.Create(filepath.Join(dir, "plain"))
	if err != nil {
		t.Fatal(err)
	}
	defer plain.Close()
	conn, err := net.Dial("tcp", discovery)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	connected, err := conn.(*net.TCPConn).File()
	if err != nil {
		t.Fatal(err)
	}
	defer connected.Close()
	for what, file := range map[string]*os.File{"a-file": plain, "a-connection": connected} {
		p := startProcess(t, path, tmp, file)
		if err := p.ends(patience); err == nil || !strings.Contains(p.log.String(), "BALANCER_INHERITED_FD") {
			t.Errorf("%s in the listener's place: %v, %s", what, err, p.log)
		}
		sound(what)
	}

	killed := startProcess(t, path, tmp, file)
	time.Sleep(20 * time.Millisecond) // somewhere on its way
	_ = killed.Process.Kill()
	_ = killed.ends(patience)
	sound("killed")

	next := startProcess(t, path, tmp, file)
	next.until("PING", "200")
	sound("beside")
	left, err := filepath.Glob(filepath.Join(tmp, "*.[01]"))
	if err != nil || len(left) != 2 {
		t.Fatalf("sockets in the folder: %v, %v", left, err)
	}
	for _, path := range left { // somebody has tidied up: what stands can only be moved
		if err := os.Remove(path); err != nil {
			t.Fatal(err)
		}
	}
	old.movesAndEnds(c)
}

// What the old process holds and can't hand over ends a successor's start with the reason,
// and the old one has lost nothing.
func TestSuccessorCannotHave(t *testing.T) {
	for key, own := range map[string]string{
		"resume.enabled": fmt.Sprintf(`{"resume":{"enabled":true,"keys":%q,"ledger":{"dir":%q}}}`, switchedOn(t).Resume.Keys, t.TempDir()),
		"udp.listen":     fmt.Sprintf(`{"udp":{"listen":%q}}`, free(t)),
	} {
		t.Run(key, func(t *testing.T) {
			var got atomic.Int32
			hop := listen(t, nextHop(&got))
			addr, file := held(t)
			dir, tmp := t.TempDir(), t.TempDir()
			path, operators := filepath.Join(dir, "config.json"), filepath.Join(dir, "operator.json")
			configure(t, path, addr, names(t, hop), hop, 1024)
			if err := os.WriteFile(operators, []byte(own), 0o600); err != nil {
				t.Fatal(err)
			}
			old := startProcess(t, path, tmp, file, "--config", operators)
			old.until("PING", "200")
			next := startProcess(t, path, tmp, file, "--config", operators)
			if err := next.ends(patience); err == nil || !strings.Contains(next.log.String(), key) {
				t.Errorf("%v: %s", err, next.log)
			}
			if s := call(t, addr, open("a")).line(); s != "UP r1" {
				t.Errorf("at the old one: %q", s)
			}
		})
	}
}
