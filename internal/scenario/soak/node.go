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
	// nodeSockets is the descriptor limit in a node's configuration.
	nodeSockets = 160
	// readyTimeout is how long a restarted node may take until it serves. Slower than
	// lateStartThreshold counts as a late start; nine in ten starts should be faster.
	readyTimeout, lateStartThreshold = 30 * time.Second, 10 * time.Second
	// divertDelay is how long after SIGTERM clients still connect to the node.
	divertDelay = 300 * time.Millisecond
)

func nodeName(number int) string { return fmt.Sprintf("n%d", number) }

// proxyHost returns a loopback address of this run's proxy. Concurrent runs use different
// addresses, so that a port that is free while its server is down is not taken by another run.
func (r *run) proxyHost(number int) string {
	const perByte = 250
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/perByte%perByte, 1+pid%perByte, number)
}

// newNode opens the node's addresses at the proxy and writes its configuration file. Every fourth
// node supports hot restart.
func (r *run) newNode(number int) (*node, error) {
	n := &node{run: r, number: number, dir: filepath.Join(r.dir, nodeName(number)), noClientsFrom: -1}
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
		if n.discoveries[i], err = r.proxy.AddFor(
			nodeName(number), "discovery", behind, n.run.proxyHost(1)); err != nil {
			return nil, err
		}
	}
	if n.clientAddr, err = r.proxy.AddFor(
		"clients", nodeName(number), n.addr, n.run.proxyHost(2)); err != nil {
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

// supportsHotRestart reports whether another process can take over the node's socket.
func (n *node) supportsHotRestart() bool { return n.socket != nil }

// newProcess returns a process of the node that is not started yet.
func (n *node) newProcess() *testbed.Process {
	process := &testbed.Process{
		Name:   nodeName(n.number),
		Binary: n.run.Binary,
		Dir:    n.dir,
		Log:    "log",
		Env: []string{"BALANCER_CONFIG=" + n.configFile(), "TMPDIR=" + n.dir,
			"CORALRELAY_SYSFAULTS=" + n.faultFile(),
			"CORALRELAY_SABOTAGE=" + n.run.Mutation},
	}
	if n.socket != nil {
		process.Env = append(process.Env, "BALANCER_INHERITED_FD=3")
		process.Files = []*os.File{n.socket}
	}
	return process
}

// start starts a process, waits until it serves, and returns how long that took.
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
			return 0, fmt.Errorf("%s exited during its start: %s", process.Name, process.Tail())
		case <-ctx.Done():
			return 0, ctx.Err()
		default:
		}
		if time.Since(begunAt) > readyTimeout {
			return time.Since(begunAt), errors.New("node not ready within the start timeout")
		}
		fake.Sleep(ctx, 5*time.Millisecond)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.noClientsFrom = -1
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

// answersPing reports whether the node answers the health check of the load balancer in front of
// it.
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

// acceptsClients reports whether clients may connect to the node now.
func (n *node) acceptsClients(now time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.noClientsFrom < 0 || now < n.noClientsFrom
}

func (n *node) divertClients(from time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.noClientsFrom = from
}

// kill kills the node's process and closes its socket at the end of the run.
func (n *node) kill() {
	if process := n.currentProcess(); process != nil {
		process.Kill()
	}
	if n.socket != nil {
		_ = n.socket.Close()
	}
}
