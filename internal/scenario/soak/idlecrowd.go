package soak

import (
	"context"
	"net"
	"time"

	"golang.org/x/sync/errgroup"
)

// idleClientsPerNode is the number of clients that connect to a node and send nothing.
const idleClientsPerNode = 30

// playIdleClients connects idle clients to each node of a fault, until the node or the fault ends
// their connections.
func (r *run) playIdleClients(ctx context.Context, fault *Fault) bool {
	ctx, cancel := context.WithCancel(ctx)
	var idleClients errgroup.Group
	defer func() { _ = idleClients.Wait() }()
	defer cancel()
	for _, number := range fault.Nodes {
		for range idleClientsPerNode {
			idleClients.Go(func() error {
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
