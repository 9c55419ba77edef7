package soak

import (
	"context"

	"coralrelay/internal/fake"
)

// noListTroubles are the ways in which discovery calls fail to return a list.
var noListTroubles = []fake.DiscoveryFault{
	fake.Unanswered, fake.LateUnavailable, fake.HeaderOnly, fake.TruncatedList, fake.MalformedList,
	fake.EndlessStatus, fake.EndlessHeader, fake.EndlessList,
}

// playDiscoveryFault plays a fault of discovery itself. If two such faults overlap at a node, the
// later one applies, and the first end ends both.
func (r *run) playDiscoveryFault(ctx context.Context, fault *Fault) {
	nodes, trouble := fault.Nodes, noListTroubles[fault.Value%len(noListTroubles)]
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
