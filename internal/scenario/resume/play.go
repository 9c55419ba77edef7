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
	// changeInterval is the time between two changes of the feed. Each listing of a group then
	// changes only every few seconds, so that a missed change remains visible long enough to be
	// detected.
	changeInterval = 10 * time.Millisecond
	// arrivalPeriod is the period over which the clients first connect.
	arrivalPeriod = 3 * time.Second
	// faultInterval is the time between two faults.
	faultInterval = time.Second
	// timePerMove and extraRunTime bound the time that the run may take to reach its number of moves.
	timePerMove  = 250 * time.Millisecond
	extraRunTime = 30 * time.Second
	// maxFaultDuration is the time within which every fault ends.
	maxFaultDuration = 4 * time.Second
)

// runScript injects faults until the number of moves is reached, waits until all faults have ended, and
// then checks that each client has the latest versions.
func (r *run) runScript(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	feedCtx, stopChanges := context.WithCancel(ctx)
	defer stopChanges()
	wg.Go(func() {
		for fake.Sleep(feedCtx, changeInterval) {
			r.feed.Step()
		}
	})
	r.startClients(ctx, &wg)
	wg.Go(func() { r.presentBadTokens(ctx) })
	wg.Go(func() { r.watchFreshness(feedCtx) })
	wg.Go(func() { r.reportProgress(ctx) })
	fake.Sleep(ctx, arrivalPeriod+time.Second)
	if err := r.moveClients(ctx, &wg); err != nil {
		return err
	}
	fake.Sleep(ctx, maxFaultDuration)
	stopChanges()
	fake.Sleep(ctx, freshnessBound+testbed.SocketDelay)
	r.checkFinalVersions()
	return nil
}

// startClients connects the clients one after another; each runs until ctx ends.
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
			fake.Sleep(ctx, time.Duration(i)*arrivalPeriod/time.Duration(r.Clients))
			client.Run(ctx)
		})
	}
}

// moveClients injects faults until the number of moves is reached, and rotates the key half way.
func (r *run) moveClients(ctx context.Context, wg *sync.WaitGroup) error {
	rotated := false
	deadline := time.Now().Add(time.Duration(r.Moves)*timePerMove + extraRunTime)
	for r.Metric("moves") < float64(r.Moves) {
		if time.Now().After(deadline) {
			r.AddViolation("bound", fmt.Sprintf("only %g of %d moves in time", r.Metric("moves"), r.Moves))
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

// rotateKey creates a second key and has the running nodes reload the key file.
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

// reportProgress writes the counts to Progress, if set, each second until ctx ends.
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
