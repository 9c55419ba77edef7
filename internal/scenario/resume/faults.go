package resume

import (
	"context"
	"sync"
	"time"

	"coralrelay/internal/fake"
)

// fault makes one fault happen and, in time, heal.
func (r *run) injectFault(ctx context.Context, wg *sync.WaitGroup) error {
	now := time.Now()
	free := func(name string, hold time.Duration) bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		if now.Before(r.nextFaultAt[name]) {
			return false
		}
		r.nextFaultAt[name] = now.Add(hold)
		return true
	}
	// Some servers and nodes have to be sound at any time, or there is nowhere to
	// move to; a plan that finds none free waits for its turn.
	server := r.servers[r.rng.IntN(len(r.servers))]
	node := r.nodes[r.rng.IntN(len(r.nodes))]
	if len(r.pendingFaults) == 0 {
		r.pendingFaults = r.rng.Perm(10) // all kinds come in a short scene too
	}
	kind := r.pendingFaults[0]
	r.pendingFaults = r.pendingFaults[1:]
	happens := false
	defer func() {
		if !happens {
			r.pendingFaults = append(r.pendingFaults, kind)
		}
	}()
	switch {
	case kind < 4:
		if happens = free("drained", 1200*time.Millisecond) && free(server.Name, 6*time.Second); happens {
			r.AddMetric("drains", 1)
			away := time.Duration(0)
			if kind%2 == 0 {
				away = 800 * time.Millisecond // it sends its clients away itself
			}
			wg.Go(func() { r.drainServer(ctx, server, away) })
		}
	case kind < 5:
		if happens = free(server.Name, 3*time.Second); happens {
			r.AddMetric("overloads", 1)
			wg.Go(func() {
				server.SetLoad(1.3)
				fake.Sleep(ctx, 1500*time.Millisecond)
				server.SetLoad(0)
			})
		}
	case kind < 6:
		if happens = free("killed", 4*time.Second) && free(server.Name, 8*time.Second); happens {
			r.AddMetric("servers killed", 1)
			wg.Go(func() {
				r.BounceServer(ctx, r.discovery, server, r.nodeNames, 200*time.Millisecond, 800*time.Millisecond)
			})
		}
	case kind < 8:
		if happens = free("node", 4*time.Second); happens {
			r.AddMetric("planned restarts", 1)
			wg.Go(func() {
				if err := node.Restart(ctx); err != nil && ctx.Err() == nil {
					r.AddViolation("restart", err.Error())
				}
			})
		}
	default:
		if happens = free("node", 3*time.Second) && free(server.Name, 6*time.Second); happens {
			// Clients are told to move, and the node falls among their returns.
			r.AddMetric("nodes killed", 1)
			wg.Go(func() { r.drainServer(ctx, server, 0) })
			wait := 100*time.Millisecond + time.Duration(r.rng.IntN(1400))*time.Millisecond
			wg.Go(func() {
				fake.Sleep(ctx, wait)
				node.Kill()
				fake.Sleep(ctx, 300*time.Millisecond)
				if err := node.Start(ctx); err != nil && ctx.Err() == nil {
					r.AddViolation("restart", err.Error())
				}
			})
		}
	}
	return ctx.Err()
}

// drain has a server drain, and come back later.
func (r *run) drainServer(ctx context.Context, server *fake.Server, goodbyeAfter time.Duration) {
	r.discovery.Set(server.Name, fake.Leaving, time.Time{}, nil)
	if r.Mutation != "drain" { // else it takes what it is wrongly sent, so that it is seen
		server.Drain(goodbyeAfter)
	}
	fake.Sleep(ctx, 2500*time.Millisecond)
	server.Undrain()
	r.discovery.Set(server.Name, fake.Active, time.Time{}, nil)
}
