package resume

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/keyfile"
	"coralrelay/internal/scenario/testbed"
)

// play runs the script until there were enough moves, then lets all come to rest.
func (r *run) play(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	changing, stopChanges := context.WithCancel(ctx)
	defer stopChanges()
	wg.Go(func() {
		for fake.Sleep(changing, changeInterval) {
			r.feed.Step()
		}
	})
	for i := range r.Clients {
		client := &fake.Client{Key: fmt.Sprintf("k%d", i), Group: fmt.Sprintf("g%d", i%max(4, r.Clients/8)), Class: "feed",
			Patience: testbed.Patience, Nodes: r.nodes, Observer: r, DuplicateShare: 0.1, WithoutResumption: i%25 == 24}
		client.Seed(r.Options.Seed, uint64(i))
		r.clients = append(r.clients, client)
		wg.Go(func() {
			fake.Sleep(ctx, time.Duration(i)*arrivals/time.Duration(r.Clients))
			client.Run(ctx)
		})
	}
	wg.Go(func() { r.presentBadTokens(ctx) })
	wg.Go(func() { r.watchFreshness(changing) })
	wg.Go(func() { r.reportProgress(ctx) })
	fake.Sleep(ctx, arrivals+time.Second)
	rotated := false
	limit := time.Now().Add(time.Duration(r.Moves)*250*time.Millisecond + 30*time.Second)
	for r.Metric("moves") < float64(r.Moves) {
		if time.Now().After(limit) {
			r.AddViolation("bound", fmt.Sprintf("%g of %d moves came about in time", r.Metric("moves"), r.Moves))
			break
		}
		if !rotated && r.Metric("moves") > float64(r.Moves)/2 {
			rotated = true
			if err := r.rotateKey(); err != nil {
				return err
			}
		}
		if err := r.injectFault(ctx, &wg); err != nil {
			return err
		}
		if !fake.Sleep(ctx, time.Second) {
			return ctx.Err()
		}
	}
	// The end: faults heal, changes stop, and all that was ever said has to arrive.
	fake.Sleep(ctx, 4*time.Second)
	stopChanges()
	fake.Sleep(ctx, freshnessBound+testbed.SocketDelay)
	r.checkFinalVersions()
	cancel()
	return nil
}

// rotate puts a second key in force while the scene runs.
func (r *run) rotateKey() error {
	if _, _, err := keyfile.Create(r.keyFile, time.Now().Add(time.Second)); err != nil {
		return err
	}
	r.AddMetric("key rotations", 1)
	for _, n := range r.nodes {
		n.Process.Signal(syscall.SIGHUP)
	}
	return r.loadKeyRing()
}
