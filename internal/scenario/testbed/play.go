package testbed

import (
	"cmp"
	"context"
	"fmt"
	mrand "math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Play has clients come at the rate, and plays steps one after another: the first in any
// case, of the others those that are chosen, or all. Then every process must still run that
// the scene has not ended.
func (bed *Testbed) Play(ctx context.Context, steps []Phase, chosen []string) error {
	for _, name := range chosen {
		if !slices.ContainsFunc(steps, func(s Phase) bool { return s.Name == name }) {
			return fmt.Errorf("no step %q", name)
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { bed.openTransactions(ctx, &wg) })
	if bed.ReportLoad {
		wg.Go(func() { bed.reportLoads(ctx) })
	}
	rng := mrand.New(mrand.NewPCG(bed.Options.Seed, 11))
	for i, step := range steps {
		if i > 0 && len(chosen) > 0 && !slices.Contains(chosen, step.Name) {
			continue
		}
		if bed.Progress != nil {
			fmt.Fprintf(bed.Progress, "%5.1f s  %s\n", bed.Elapsed().Seconds(), step.Name)
		}
		if err := step.Run(ctx, rng); err != nil || ctx.Err() != nil {
			return cmp.Or(err, ctx.Err())
		}
	}
	for _, n := range bed.Nodes {
		bed.checkAlive(n.Process)
		if a := bed.Agents[n.Name]; a != nil {
			bed.checkAlive(a.Process)
		}
	}
	return nil
}

func (bed *Testbed) checkAlive(p *Process) {
	if err := p.CheckExit(); err != nil {
		bed.AddViolation("crash", err.Error())
	}
}

// report has servers tell the load that they are asked to bear, over the last two seconds.
func (bed *Testbed) reportLoads(ctx context.Context) {
	const over = 2 * time.Second
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		asked := map[string]float64{}
		for _, l := range bed.FirstLines(now.Add(-over), now) {
			asked[l.Server]++
		}
		for _, v := range bed.AllServers() {
			v.SetLoad(max(0.01, asked[v.Name]/over.Seconds()/bed.CapacityOf(v, now)))
		}
	}
}
