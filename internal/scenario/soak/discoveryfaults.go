package soak

import (
	"context"

	"coralrelay/internal/fake"
)

// starvations are the forms in which no call of discovery brings a list.
var starvations = []fake.DiscoveryFault{fake.Unanswered, fake.LateUnavailable, fake.HeaderOnly, fake.TruncatedList, fake.MalformedList}

// playDiscoveryFault plays a fault of discovery itself. Where two meet at a node, the later one counts, and its end is
// the end of both.
func (r *run) playDiscoveryFault(ctx context.Context, fault *Fault) {
	nodes, trouble := fault.Nodes, starvations[fault.Value%len(starvations)]
	if fault.Kind == discoveryDown {
		nodes, trouble = nil, fake.Down
		for number := range r.nodes {
			nodes = append(nodes, number)
		}
		_ = r.proxy.SetDown("discovery", true)
	}
	for _, number := range nodes {
		r.discovery.SetFault(nodeName(number), trouble)
	}
	r.awaitEnd(ctx, fault)
	for _, number := range nodes {
		r.discovery.SetFault(nodeName(number), fake.NoDiscoveryFault)
	}
	if fault.Kind == discoveryDown {
		_ = r.proxy.SetDown("discovery", false)
	}
}
