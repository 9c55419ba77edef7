package resume

import (
	"context"
	"sync"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/scenario/testbed"
)

// faultSlots is the number of slots in a round of faults. startFault maps each slot to a kind of
// fault; a kind that has several slots is injected more often.
const faultSlots = 10

// injectFault starts the next fault of the round, which ends by itself after a while. Some servers
// and nodes must be healthy at any time, because clients could not migrate otherwise: a fault whose
// target is still reserved by an earlier fault returns to the end of the round.
func (r *run) injectFault(ctx context.Context, wg *sync.WaitGroup) error {
	server := r.servers[r.rng.IntN(len(r.servers))]
	node := r.nodes[r.rng.IntN(len(r.nodes))]
	if len(r.pendingFaults) == 0 {
		r.pendingFaults = r.rng.Perm(faultSlots) // a short run covers all kinds too
	}
	slot := r.pendingFaults[0]
	r.pendingFaults = r.pendingFaults[1:]
	if !r.startFault(ctx, wg, slot, server, node) {
		r.pendingFaults = append(r.pendingFaults, slot)
	}
	return ctx.Err()
}

// startFault starts the fault of a slot unless one of its targets is reserved, and reports whether
// it did.
func (r *run) startFault(ctx context.Context, wg *sync.WaitGroup, slot int, server *fake.Server,
	node *testbed.Node) bool {
	switch {
	case slot < 4:
		goodbyeAfter := time.Duration(0)
		if slot%2 == 0 {
			goodbyeAfter = 800 * time.Millisecond // the server itself tells its clients to leave
		}
		return r.startDrain(ctx, wg, server, goodbyeAfter)
	case slot < 5:
		return r.startOverload(ctx, wg, server)
	case slot < 6:
		return r.startServerCrash(ctx, wg, server)
	case slot < 8:
		return r.startNodeRestart(ctx, wg, node)
	default:
		return r.startNodeCrash(ctx, wg, server, node)
	}
}

// reserve excludes other faults from a server, a node or a kind of fault for the duration. It
// returns false and reserves nothing if an earlier reservation still holds.
func (r *run) reserve(name string, duration time.Duration) bool {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Before(r.nextFaultAt[name]) {
		return false
	}
	r.nextFaultAt[name] = now.Add(duration)
	return true
}

func (r *run) startDrain(ctx context.Context, wg *sync.WaitGroup, server *fake.Server,
	goodbyeAfter time.Duration) bool {
	if !r.reserve("drained", 1200*time.Millisecond) || !r.reserve(server.Name, 6*time.Second) {
		return false
	}
	r.AddMetric("drains", 1)
	wg.Go(func() { r.drainServer(ctx, server, goodbyeAfter) })
	return true
}

// drainServer drains a server and returns it to service later.
func (r *run) drainServer(ctx context.Context, server *fake.Server, goodbyeAfter time.Duration) {
	r.discovery.Set(server.Name, fake.Leaving, time.Time{}, nil)
	if r.Mutation != "drain" { // with it, misrouted first lines are accepted and detected
		server.Drain(goodbyeAfter)
	}
	fake.Sleep(ctx, 2500*time.Millisecond)
	server.Undrain()
	r.discovery.Set(server.Name, fake.Active, time.Time{}, nil)
}

func (r *run) startOverload(ctx context.Context, wg *sync.WaitGroup, server *fake.Server) bool {
	if !r.reserve(server.Name, 3*time.Second) {
		return false
	}
	r.AddMetric("overloads", 1)
	wg.Go(func() {
		server.SetLoad(1.3)
		fake.Sleep(ctx, 1500*time.Millisecond)
		server.SetLoad(0)
	})
	return true
}

func (r *run) startServerCrash(ctx context.Context, wg *sync.WaitGroup, server *fake.Server) bool {
	if !r.reserve("killed", 4*time.Second) || !r.reserve(server.Name, 8*time.Second) {
		return false
	}
	r.AddMetric("servers killed", 1)
	wg.Go(func() {
		r.BounceServer(ctx, r.discovery, server, r.nodeNames, 200*time.Millisecond, 800*time.Millisecond)
	})
	return true
}

func (r *run) startNodeRestart(ctx context.Context, wg *sync.WaitGroup, node *testbed.Node) bool {
	if !r.reserve("node", 4*time.Second) {
		return false
	}
	r.AddMetric("planned restarts", 1)
	wg.Go(func() { r.checkRestart(ctx, node.Restart(ctx)) })
	return true
}

// startNodeCrash drains a server, and kills a node while the server's clients reconnect.
func (r *run) startNodeCrash(ctx context.Context, wg *sync.WaitGroup, server *fake.Server,
	node *testbed.Node) bool {
	if !r.reserve("node", 3*time.Second) || !r.reserve(server.Name, 6*time.Second) {
		return false
	}
	r.AddMetric("nodes killed", 1)
	wg.Go(func() { r.drainServer(ctx, server, 0) })
	crashDelay := 100*time.Millisecond + time.Duration(r.rng.IntN(1400))*time.Millisecond
	wg.Go(func() {
		fake.Sleep(ctx, crashDelay)
		node.Kill()
		fake.Sleep(ctx, 300*time.Millisecond)
		r.checkRestart(ctx, node.Start(ctx))
	})
	return true
}

// checkRestart records a violation if a node failed to restart before the run ended.
func (r *run) checkRestart(ctx context.Context, err error) {
	if err != nil && ctx.Err() == nil {
		r.AddViolation("restart", err.Error())
	}
}
