package resume

import (
	"context"
	"sync"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/scenario/testbed"
)

// faultKinds is how many numbers a round of faults has. Each stands for a kind of fault, as
// startFault tells them apart; some kinds have several numbers and come more often.
const faultKinds = 10

// injectFault starts one fault; in time it heals by itself. Some servers and nodes have to be
// healthy at any time, or there is nowhere to move to: a fault that finds its target busy with
// an earlier one goes back to the end of the round.
func (r *run) injectFault(ctx context.Context, wg *sync.WaitGroup) error {
	server := r.servers[r.rng.IntN(len(r.servers))]
	node := r.nodes[r.rng.IntN(len(r.nodes))]
	if len(r.pendingFaults) == 0 {
		r.pendingFaults = r.rng.Perm(faultKinds) // all kinds come in a short run too
	}
	kind := r.pendingFaults[0]
	r.pendingFaults = r.pendingFaults[1:]
	if !r.startFault(ctx, wg, kind, server, node) {
		r.pendingFaults = append(r.pendingFaults, kind)
	}
	return ctx.Err()
}

// startFault starts a fault of a kind unless its targets are reserved; it reports whether it did.
func (r *run) startFault(ctx context.Context, wg *sync.WaitGroup, kind int, server *fake.Server,
	node *testbed.Node) bool {
	switch {
	case kind < 4:
		goodbyeAfter := time.Duration(0)
		if kind%2 == 0 {
			goodbyeAfter = 800 * time.Millisecond // the server sends its clients away itself
		}
		return r.startDrain(ctx, wg, server, goodbyeAfter)
	case kind < 5:
		return r.startOverload(ctx, wg, server)
	case kind < 6:
		return r.startServerCrash(ctx, wg, server)
	case kind < 8:
		return r.startNodeRestart(ctx, wg, node)
	default:
		return r.startNodeCrash(ctx, wg, server, node)
	}
}

// reserve keeps other faults from a server, a node or a kind of fault for a while; it is false,
// and reserves nothing, where an earlier fault has done so.
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

// drainServer has a server drain, and come back later.
func (r *run) drainServer(ctx context.Context, server *fake.Server, goodbyeAfter time.Duration) {
	r.discovery.Set(server.Name, fake.Leaving, time.Time{}, nil)
	if r.Mutation != "drain" { // else it takes what it is wrongly sent, so that it is seen
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

// startNodeCrash has a server drain, and kills a node while its clients come back.
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

// checkRestart notes that a node did not come back, unless the run was over.
func (r *run) checkRestart(ctx context.Context, err error) {
	if err != nil && ctx.Err() == nil {
		r.AddViolation("restart", err.Error())
	}
}
