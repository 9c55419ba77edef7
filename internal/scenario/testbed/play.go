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

const (
	// loadInterval is the time from one load report of all servers to the next.
	loadInterval = 100 * time.Millisecond
	// loadWindow is the time that a load report looks back.
	loadWindow = 2 * time.Second
	// leastLoad is the lowest load that a server reports.
	leastLoad = 0.01
)

// Phase is a part of a scenario's script. All phases of a run draw from one generator.
type Phase struct {
	Name string
	Run  func(ctx context.Context, rng *mrand.Rand) error
}

// Play has clients come at the rate, and runs phases one after another: the first in any case,
// of the others those that are chosen, or all. Then every process must still run that the
// scenario has not ended. Its goroutines have ended when it returns.
func (bed *Testbed) Play(ctx context.Context, phases []Phase, chosen []string) error {
	for _, name := range chosen {
		if !slices.ContainsFunc(phases, func(phase Phase) bool { return phase.Name == name }) {
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
	for i, phase := range phases {
		if i > 0 && len(chosen) > 0 && !slices.Contains(chosen, phase.Name) {
			continue
		}
		if bed.Progress != nil {
			_, _ = fmt.Fprintf(bed.Progress, "%5.1f s  %s\n", bed.Elapsed().Seconds(), phase.Name)
		}
		if err := phase.Run(ctx, rng); err != nil || ctx.Err() != nil {
			return cmp.Or(err, ctx.Err())
		}
	}
	bed.checkProcesses()
	return nil
}

// checkProcesses checks that no node or agent has ended by itself.
func (bed *Testbed) checkProcesses() {
	for _, node := range bed.Nodes {
		bed.checkExit(node.Process)
		if agent := bed.Agents[node.Name]; agent != nil {
			bed.checkExit(agent.Process)
		}
	}
}

func (bed *Testbed) checkExit(process *Process) {
	if err := process.CheckExit(); err != nil {
		bed.AddViolation("crash", err.Error())
	}
}

// reportLoads has servers report what they were asked over the last two seconds, over what they
// can do, until ctx ends.
func (bed *Testbed) reportLoads(ctx context.Context) {
	tick := time.NewTicker(loadInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		asked := map[string]float64{} // by server
		for _, line := range bed.FirstLines(now.Add(-loadWindow), now) {
			asked[line.Server]++
		}
		for _, server := range bed.AllServers() {
			rate := asked[server.Name] / loadWindow.Seconds()
			server.SetLoad(max(leastLoad, rate/bed.CapacityOf(server, now)))
		}
	}
}
