package testbed

import (
	"cmp"
	"context"
	"fmt"
	mrand "math/rand/v2"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// Play has clients come at the rate, and plays steps one after another: the first in any
// case, of the others those that are chosen, or all. Then every process must still run that
// the scene has not ended.
func (w *Testbed) Play(ctx context.Context, steps []Phase, chosen []string) error {
	for _, name := range chosen {
		if !slices.ContainsFunc(steps, func(s Phase) bool { return s.Name == name }) {
			return fmt.Errorf("no step %q", name)
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { w.load(ctx, &wg) })
	if w.ReportLoad {
		wg.Go(func() { w.report(ctx) })
	}
	rng := mrand.New(mrand.NewPCG(w.Options.Seed, 11))
	for i, step := range steps {
		if i > 0 && len(chosen) > 0 && !slices.Contains(chosen, step.Name) {
			continue
		}
		if w.Progress != nil {
			fmt.Fprintf(w.Progress, "%5.1f s  %s\n", w.Elapsed().Seconds(), step.Name)
		}
		if err := step.Run(ctx, rng); err != nil || ctx.Err() != nil {
			return cmp.Or(err, ctx.Err())
		}
	}
	for _, n := range w.Nodes {
		w.sound(n.Process)
		if a := w.Agents[n.Name]; a != nil {
			w.sound(a.Process)
		}
	}
	return nil
}

func (w *Testbed) sound(p *Process) {
	if err := p.CheckExit(); err != nil {
		w.AddViolation("crash", err.Error())
	}
}

// report has servers tell the load that they are asked to bear, over the last two seconds.
func (w *Testbed) report(ctx context.Context) {
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
		for _, l := range w.FirstLines(now.Add(-over), now) {
			asked[l.Server]++
		}
		for _, v := range w.AllServers() {
			v.SetLoad(max(0.01, asked[v.Name]/over.Seconds()/w.CapacityOf(v, now)))
		}
	}
}

// BuildMutated builds one of the commands with guards that can be taken out.
func BuildMutated(ctx context.Context, dir, command string) (binary string, err error) {
	binary = filepath.Join(dir, command+"-mutated")
	out, err := exec.CommandContext(ctx, "go", "build", "-tags", "mutation", "-o", binary, "coralrelay/cmd/"+command).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build with -tags mutation, from the module's root: %w: %s", err, out)
	}
	return binary, nil
}
