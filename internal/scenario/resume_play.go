package scenario

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
func (s *scene) play(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	changes, still := context.WithCancel(ctx)
	defer still()
	wg.Go(func() {
		for fake.Sleep(changes, changeEvery) {
			s.feed.Step()
		}
	})
	for i := range s.Clients {
		c := &fake.Client{Key: fmt.Sprintf("k%d", i), Group: fmt.Sprintf("g%d", i%max(4, s.Clients/8)), Class: "feed",
			AnswerTimeout: testbed.Patience, Nodes: s.nodes, Observer: s, DuplicateShare: 0.1, WithoutResumption: i%25 == 24}
		c.Seed(s.ResumeOptions.Seed, uint64(i))
		s.clients = append(s.clients, c)
		wg.Go(func() {
			fake.Sleep(ctx, time.Duration(i)*arrivals/time.Duration(s.Clients))
			c.Run(ctx)
		})
	}
	wg.Go(func() { s.abuse(ctx) })
	wg.Go(func() { s.watch(changes) })
	wg.Go(func() { s.report(ctx) })
	fake.Sleep(ctx, arrivals+time.Second)
	rotated := false
	limit := time.Now().Add(time.Duration(s.Moves)*250*time.Millisecond + 30*time.Second)
	for s.Metric("moves") < float64(s.Moves) {
		if time.Now().After(limit) {
			s.AddViolation("bound", fmt.Sprintf("%g of %d moves came about in time", s.Metric("moves"), s.Moves))
			break
		}
		if !rotated && s.Metric("moves") > float64(s.Moves)/2 {
			rotated = true
			if err := s.rotate(); err != nil {
				return err
			}
		}
		if err := s.fault(ctx, &wg); err != nil {
			return err
		}
		if !fake.Sleep(ctx, time.Second) {
			return ctx.Err()
		}
	}
	// The end: faults heal, changes stop, and all that was ever said has to arrive.
	fake.Sleep(ctx, 4*time.Second)
	still()
	fake.Sleep(ctx, freshness+testbed.SocketDelay)
	s.settled()
	cancel()
	return nil
}

// rotate puts a second key in force while the scene runs.
func (s *scene) rotate() error {
	if _, _, err := keyfile.Create(s.keys, time.Now().Add(time.Second)); err != nil {
		return err
	}
	s.AddMetric("key rotations", 1)
	for _, n := range s.nodes {
		n.Process.Signal(syscall.SIGHUP)
	}
	return s.loadKeys()
}
