package soak

import (
	"context"
	"net"
	"time"

	"golang.org/x/sync/errgroup"
)

// idleCrowd is how many clients connect to a node and say nothing.
const idleCrowd = 30

// playIdleCrowd has a crowd connect to each node of a fault and say nothing, until the node or the fault ends it.
func (r *run) playIdleCrowd(ctx context.Context, fault *Fault) bool {
	ctx, cancel := context.WithCancel(ctx)
	var crowd errgroup.Group
	defer func() { _ = crowd.Wait() }()
	defer cancel()
	for _, number := range fault.Nodes {
		for range idleCrowd {
			crowd.Go(func() error {
				conn, err := net.DialTimeout("tcp", r.nodes[number].clientAddr, time.Second)
				if err != nil {
					return nil // the node is down
				}
				stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
				defer stop()
				_, _ = conn.Read(make([]byte, 1))
				return conn.Close()
			})
		}
	}
	return r.awaitEnd(ctx, fault)
}
