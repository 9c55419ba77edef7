package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/loopback"
	"coralrelay/internal/scenario/testbed"
)

const (
	// nodeSockets is the limit of descriptors that a node is told.
	nodeSockets = 160
	// readyTimeout is how long a restarted node may take until it serves, and usualReadyTimeout nine in
	// ten of them.
	readyTimeout, usualReadyTimeout = 30 * time.Second, 10 * time.Second
	// frontDelay is how long after SIGTERM clients still come.
	frontDelay = 300 * time.Millisecond
)

func nodeName(number int) string { return fmt.Sprintf("n%d", number) }

// proxyHost is one of the loopback addresses of this run's proxy. Runs side by side have different ones: a port that is
// free while its server is down must not become another run's.
func (r *run) proxyHost(number int) string {
	const perByte = 250
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/perByte%perByte, 1+pid%perByte, number)
}

// newNode opens the node's addresses at the proxy and writes its file. Every fourth can be succeeded.
func (r *run) newNode(number int) (*node, error) {
	n := &node{run: r, number: number, dir: filepath.Join(r.dir, nodeName(number)), awayFrom: -1}
	if err := os.MkdirAll(n.dir, 0o700); err != nil {
		return nil, err
	}
	var err error
	if n.addr, err = loopback.Reserve(); err != nil {
		return nil, err
	}
	if number%4 == 3 {
		if err := n.openSocket(); err != nil {
			return nil, err
		}
	}
	behind, err := r.discovery.Listen(nodeName(number))
	if err != nil {
		return nil, err
	}
	for i := range n.discoveries {
		if n.discoveries[i], err = r.proxy.AddFor(nodeName(number), "discovery", behind, n.run.proxyHost(1)); err != nil {
			return nil, err
		}
	}
	if n.clientAddr, err = r.proxy.AddFor("clients", nodeName(number), n.addr, n.run.proxyHost(2)); err != nil {
		return nil, err
	}
	return n, n.writeConfig()
}

func (n *node) openSocket() error {
	listener, err := net.Listen("tcp", n.addr)
	if err != nil {
		return err
	}
	defer func() { _ = listener.Close() }()
	n.socket, err = listener.(*net.TCPListener).File()
	return err
}

// canBeSucceeded reports whether another process can take over the node's socket.
func (n *node) canBeSucceeded() bool { return n.socket != nil }

// newProcess returns a process of the node that does not run yet.
func (n *node) newProcess() *testbed.Process {
	process := &testbed.Process{
		Name:   nodeName(n.number),
		Binary: n.run.Binary,
		Dir:    n.dir,
		Log:    "log",
		Env: []string{"BALANCER_CONFIG=" + n.configFile(), "TMPDIR=" + n.dir, "CORALRELAY_SYSFAULTS=" + n.faultFile(),
			"CORALRELAY_SABOTAGE=" + n.run.Mutation},
	}
	if n.socket != nil {
		process.Env = append(process.Env, "BALANCER_INHERITED_FD=3")
		process.Files = []*os.File{n.socket}
	}
	return process
}

// start starts a process and waits until it serves. It returns how long that took.
func (n *node) start(ctx context.Context) (took time.Duration, err error) {
	process := n.newProcess()
	begunAt := time.Now()
	if err := process.Start(); err != nil {
		return 0, err
	}
	n.setProcess(process)
	for !n.answersPing() {
		select {
		case <-process.Done():
			return 0, fmt.Errorf("%s ended at its start: %s", process.Name, process.Tail())
		case <-ctx.Done():
			return 0, ctx.Err()
		default:
		}
		if time.Since(begunAt) > readyTimeout {
			return time.Since(begunAt), errors.New("not ready in time")
		}
		fake.Sleep(ctx, 5*time.Millisecond)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.awayFrom = -1
	return time.Since(begunAt), nil
}

func (n *node) setProcess(process *testbed.Process) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process = process
}

func (n *node) currentProcess() *testbed.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// answersPing reports whether the node answers as the front asks.
func (n *node) answersPing() bool {
	conn, err := net.DialTimeout("tcp", n.addr, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = fmt.Fprint(conn, "PING\r\n")
	answer := make([]byte, len("PONG"))
	read, _ := conn.Read(answer)
	return string(answer[:read]) == "PONG"
}

// claim reserves the node's process for one fault at a time.
func (n *node) claim() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.busy {
		return false
	}
	n.busy = true
	return true
}

func (n *node) release() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.busy = false
}

// takesClients reports whether clients come to the node now.
func (n *node) takesClients(now time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.awayFrom < 0 || now < n.awayFrom
}

func (n *node) sendAway(from time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.awayFrom = from
}

// kill ends the node at the run's end.
func (n *node) kill() {
	if process := n.currentProcess(); process != nil {
		process.Kill()
	}
	if n.socket != nil {
		_ = n.socket.Close()
	}
}
