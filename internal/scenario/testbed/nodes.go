package testbed

import (
	"math/rand/v2"
	"time"
)

// Nodes is what clients choose from: the front of the platform, which sends them to nodes that
// run.
type Nodes []*Node

// Pick draws a node, and goes on to the next that runs.
func (ns Nodes) Pick(rng *rand.Rand) (name, addr string) {
	now := time.Now()
	index := rng.IntN(len(ns))
	for tried := 0; ; tried++ {
		node := ns[index]
		if node.runsAt(now) || tried > len(ns) {
			return node.Name, node.Addr
		}
		index = (index + 1) % len(ns)
	}
}

// runsAt reports whether clients go to the node at a time.
func (n *Node) runsAt(at time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.goneSince.IsZero() || at.Before(n.goneSince)
}

// StoppedSince reports whether a node is killed or told to end, or was since a time.
func (ns Nodes) StoppedSince(name string, since time.Time) bool {
	for _, node := range ns {
		if node.Name == name {
			node.mu.Lock()
			defer node.mu.Unlock()
			return !node.goneSince.IsZero() || node.stoppedAt.After(since)
		}
	}
	return false
}

// KillAll ends all outright.
func (ns Nodes) KillAll() {
	for _, node := range ns {
		node.Kill()
	}
}
