package testbed

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// startPoll is the time from one try to connect to a node that starts to the next.
	startPoll = 5 * time.Millisecond
	// terminateTimeout is how long a node may take to end after SIGTERM.
	terminateTimeout = 5 * time.Second
	// clientsNotice is how long after a node was told to end clients still go there, as the
	// platform's protocol has it.
	clientsNotice = 300 * time.Millisecond
)

// Node is one real node, a process of its own.
type Node struct {
	NodeOptions
	Addr    string // where it takes clients
	Process *Process

	mu        sync.Mutex
	goneSince time.Time // since when clients do not go there; zero while they do
	stoppedAt time.Time // when it was last killed or told to end
}

// Start starts the node and waits until it accepts clients. It is an error, with the end of the
// node's log, if the process ends first.
func (n *Node) Start(ctx context.Context) error {
	if err := n.Process.Start(); err != nil {
		return err
	}
	done := n.Process.Done()
	for !n.accepts() {
		select {
		case <-done:
			return fmt.Errorf("node %s ended at its start: %s", n.Name, n.Process.Tail())
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(startPoll):
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.goneSince = time.Time{}
	return nil
}

// accepts reports whether the node takes a connection.
func (n *Node) accepts() bool {
	conn, err := net.DialTimeout("tcp", n.Addr, time.Second)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// Kill ends the node outright.
func (n *Node) Kill() {
	n.markGone(0)
	n.Process.Kill()
}

// markGone keeps clients from the node, after a delay and until Start.
func (n *Node) markGone(delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.goneSince, n.stoppedAt = time.Now().Add(delay), time.Now()
}

// Restart asks the node to end, as a planned restart does, and starts it again.
func (n *Node) Restart(ctx context.Context) error {
	if err := n.Terminate(); err != nil {
		return err
	}
	return n.Start(ctx)
}

// Terminate asks the node to end, as a planned restart does, and waits until it has. If it does
// not end in time it is killed, which is an error.
func (n *Node) Terminate() error {
	n.markGone(clientsNotice)
	n.Process.Signal(syscall.SIGTERM)
	select {
	case <-n.Process.Done():
		return nil
	case <-time.After(terminateTimeout):
		n.Kill()
		return fmt.Errorf("%s did not end within 5 s of SIGTERM", n.Process.Name)
	}
}

// ResidentMemory returns the node's resident memory in bytes, 0 if it can't be read.
func (n *Node) ResidentMemory() float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", n.Process.Pid()))
	if err != nil {
		return 0
	}
	var size, resident int64 // pages
	if _, err := fmt.Sscan(string(raw), &size, &resident); err != nil {
		return 0
	}
	return float64(resident * int64(os.Getpagesize()))
}
