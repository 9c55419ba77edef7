package testbed

import (
	"math/rand/v2"
	"time"
)

// Nodes is the set of nodes that clients choose from. It stands for the platform's front end, which
// sends clients to running nodes.
type Nodes []*Node

// Pick draws a node at random and returns it, or the next one in order that accepts clients.
func (ns Nodes) Pick(rng *rand.Rand) (name, addr string) {
	now := time.Now()
	index := rng.IntN(len(ns))
	for tried := 0; ; tried++ {
		node := ns[index]
		if node.acceptsClientsAt(now) || tried > len(ns) {
			return node.Name, node.Addr
		}
		index = (index + 1) % len(ns)
	}
}

// acceptsClientsAt reports whether clients are sent to the node at a time.
func (n *Node) acceptsClientsAt(at time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.unavailableSince.IsZero() || at.Before(n.unavailableSince)
}

// StoppedSince reports whether a node is unavailable, or was killed or sent SIGTERM after a time.
func (ns Nodes) StoppedSince(name string, since time.Time) bool {
	for _, node := range ns {
		if node.Name == name {
			node.mu.Lock()
			defer node.mu.Unlock()
			return !node.unavailableSince.IsZero() || node.stoppedAt.After(since)
		}
	}
	return false
}

// KillAll kills all nodes.
func (ns Nodes) KillAll() {
	for _, node := range ns {
		node.Kill()
	}
}
