package testbed

import (
	"math/rand/v2"
	"time"
)

// Nodes is the front: it sends clients to those that are there.
type Nodes []*Node

// Pick names one of them.
func (ns Nodes) Pick(rng *rand.Rand) (node, addr string) {
	now := time.Now()
	for at, tried := rng.IntN(len(ns)), 0; ; at, tried = (at+1)%len(ns), tried+1 {
		n := ns[at]
		n.mu.Lock()
		there := n.gone.IsZero() || now.Before(n.gone)
		n.mu.Unlock()
		if there || tried > len(ns) {
			return n.Name, n.Addr
		}
	}
}

// Gone tells whether a node was killed or told to end since a time.
func (ns Nodes) Gone(node string, since time.Time) bool {
	for _, n := range ns {
		if n.Name == node {
			n.mu.Lock()
			defer n.mu.Unlock()
			return !n.gone.IsZero() || n.fell.After(since)
		}
	}
	return false
}

// End ends all.
func (ns Nodes) KillAll() {
	for _, n := range ns {
		n.Kill()
	}
}
