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
	// loadInterval is the interval at which the load reports of all servers are updated.
	loadInterval = 100 * time.Millisecond
	// loadWindow is the period before a load report over which its request rate is measured.
	loadWindow = 2 * time.Second
	// minReportedLoad is the lowest load that a server reports.
	minReportedLoad = 0.01
)

// Phase is a part of a scenario's script. All phases of a run share one random number generator.
type Phase struct {
	Name string
	Run  func(ctx context.Context, rng *mrand.Rand) error
}

// Play starts the clients and runs phases in order. The first phase always runs; the others run if
// they are chosen or if chosen is empty. Afterwards Play checks that no process has exited except
// those that the scenario stopped. All goroutines of Play have ended when it returns.
func (bed *Testbed) Play(ctx context.Context, phases []Phase, chosen []string) error {
	for _, name := range chosen {
		if !slices.ContainsFunc(phases, func(phase Phase) bool { return phase.Name == name }) {
			return fmt.Errorf("unknown phase %q", name)
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

// checkProcesses checks that no node or agent has exited by itself.
func (bed *Testbed) checkProcesses() {
	for _, node := range bed.Nodes {
		bed.checkExit(node.Process)
		if agent := bed.Agents[node.Name]; agent != nil {
			bed.checkExit(agent.Process)
		}
	}
}

// checkExit adds a violation if a process has exited by itself.
func (bed *Testbed) checkExit(process *Process) {
	if err := process.CheckExit(); err != nil {
		bed.AddViolation("crash", err.Error())
	}
}

// reportLoads updates the load that each server reports until ctx ends. The load is the server's
// request rate over the last two seconds (loadWindow) divided by its capacity.
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
		firstLines := map[string]float64{} // count by server
		for _, line := range bed.FirstLines(now.Add(-loadWindow), now) {
			firstLines[line.Server]++
		}
		for _, server := range bed.AllServers() {
			rate := firstLines[server.Name] / loadWindow.Seconds()
			server.SetLoad(max(minReportedLoad, rate/bed.CapacityOf(server, now)))
		}
	}
}
