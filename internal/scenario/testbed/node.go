package testbed

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// startPollInterval is the time between two attempts to connect to a node that is starting.
	startPollInterval = 5 * time.Millisecond
	// terminateTimeout is how long a node may take to exit after SIGTERM.
	terminateTimeout = 5 * time.Second
	// clientNoticeDelay is how long clients still connect to a node after it was sent SIGTERM, as
	// the platform's protocol specifies.
	clientNoticeDelay = 300 * time.Millisecond
)

// Node is a node that runs as a separate process.
type Node struct {
	NodeOptions
	Addr    string // at which the node accepts clients
	Process *Process

	mu               sync.Mutex
	unavailableSince time.Time // time from which clients avoid the node; zero while they use it
	stoppedAt        time.Time // when the node was last killed or sent SIGTERM
}

// Start starts the node and waits until it accepts clients. If the process exits first, Start returns
// an error with the end of the node's log.
func (n *Node) Start(ctx context.Context) error {
	if err := n.Process.Start(); err != nil {
		return err
	}
	done := n.Process.Done()
	for !n.accepts() {
		select {
		case <-done:
			return fmt.Errorf("node %s exited before it accepted clients: %s", n.Name, n.Process.Tail())
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(startPollInterval):
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unavailableSince = time.Time{}
	return nil
}

// accepts reports whether the node accepts a connection.
func (n *Node) accepts() bool {
	conn, err := net.DialTimeout("tcp", n.Addr, time.Second)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// Kill kills the node and waits until its process has ended.
func (n *Node) Kill() {
	n.markUnavailable(0)
	n.Process.Kill()
}

// markUnavailable keeps clients away from the node, from the end of the delay until Start.
func (n *Node) markUnavailable(delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unavailableSince, n.stoppedAt = time.Now().Add(delay), time.Now()
}

// Restart performs a planned restart: it terminates the node with SIGTERM and starts it again.
func (n *Node) Restart(ctx context.Context) error {
	if err := n.Terminate(); err != nil {
		return err
	}
	return n.Start(ctx)
}

// Terminate sends the node SIGTERM, as a planned restart does, and waits until it has exited. If the
// node does not exit within terminateTimeout, Terminate kills it and returns an error.
func (n *Node) Terminate() error {
	n.markUnavailable(clientNoticeDelay)
	n.Process.Signal(syscall.SIGTERM)
	select {
	case <-n.Process.Done():
		return nil
	case <-time.After(terminateTimeout):
		n.Kill()
		return fmt.Errorf("%s did not exit within 5 s of SIGTERM", n.Process.Name)
	}
}
