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

const (
	// changeInterval is the time from one change of the feed to the next: each listing of a
	// group changes every few seconds, so that a change that was missed stays missed for long
	// enough to see.
	changeInterval = 10 * time.Millisecond
	// arrivals is how long the clients take to come at first.
	arrivals = 3 * time.Second
	// faultInterval is the time from one fault to the next.
	faultInterval = time.Second
	// timePerMove and extraTime bound how long the run may take to see its moves.
	timePerMove = 250 * time.Millisecond
	extraTime   = 30 * time.Second
	// healing is how long all faults take to heal.
	healing = 4 * time.Second
)

// play runs the script until there were enough moves, then waits until faults have healed and
// checks that each client has the latest of everything.
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
	r.startClients(ctx, &wg)
	wg.Go(func() { r.presentBadTokens(ctx) })
	wg.Go(func() { r.watchFreshness(changing) })
	wg.Go(func() { r.reportProgress(ctx) })
	fake.Sleep(ctx, arrivals+time.Second)
	if err := r.moveClients(ctx, &wg); err != nil {
		return err
	}
	fake.Sleep(ctx, healing)
	stopChanges()
	fake.Sleep(ctx, freshnessBound+testbed.SocketDelay)
	r.checkFinalVersions()
	return nil
}

// startClients has the clients come, one after another, and stay until ctx ends.
func (r *run) startClients(ctx context.Context, wg *sync.WaitGroup) {
	for i := range r.Clients {
		client := &fake.Client{
			Key:               fmt.Sprintf("k%d", i),
			Group:             fmt.Sprintf("g%d", i%max(4, r.Clients/8)),
			Class:             "feed",
			AnswerTimeout:     testbed.FinalAnswerTimeout,
			Nodes:             r.nodes,
			Observer:          r,
			DuplicateShare:    0.1,
			WithoutResumption: i%25 == 24,
		}
		client.Seed(r.Options.Seed, uint64(i))
		r.clients = append(r.clients, client)
		wg.Go(func() {
			fake.Sleep(ctx, time.Duration(i)*arrivals/time.Duration(r.Clients))
			client.Run(ctx)
		})
	}
}

// moveClients injects faults until there were enough moves; half way it rotates the key.
func (r *run) moveClients(ctx context.Context, wg *sync.WaitGroup) error {
	rotated := false
	deadline := time.Now().Add(time.Duration(r.Moves)*timePerMove + extraTime)
	for r.Metric("moves") < float64(r.Moves) {
		if time.Now().After(deadline) {
			r.AddViolation("bound", fmt.Sprintf("%g of %d moves came about in time", r.Metric("moves"), r.Moves))
			return nil
		}
		if !rotated && r.Metric("moves") > float64(r.Moves)/2 {
			rotated = true
			if err := r.rotateKey(); err != nil {
				return err
			}
		}
		if err := r.injectFault(ctx, wg); err != nil {
			return err
		}
		if !fake.Sleep(ctx, faultInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// rotateKey puts a second key in force while the nodes run.
func (r *run) rotateKey() error {
	if _, _, err := keyfile.Create(r.keyFile, time.Now().Add(time.Second)); err != nil {
		return err
	}
	r.AddMetric("key rotations", 1)
	for _, node := range r.nodes {
		node.Process.Signal(syscall.SIGHUP)
	}
	return r.loadKeyRing()
}

// reportProgress shows the counts each second, if there is somebody to look, until ctx ends.
func (r *run) reportProgress(ctx context.Context) {
	if r.Progress == nil {
		return
	}
	for second := 1; fake.Sleep(ctx, time.Second); second++ {
		_, _ = fmt.Fprintf(r.Progress,
			"\r%3d s  %5.0f moves  %5.0f resumed  %5.0f snapshots  %3.0f drains  %2.0f restarts  %2.0f nodes killed ",
			second, r.Metric("moves"), r.Metric("resumed"), r.Metric("snapshots"), r.Metric("drains"),
			r.Metric("planned restarts"), r.Metric("nodes killed"))
	}
}
