package soak

import (
	"context"
	"fmt"

	"golang.org/x/sync/errgroup"

	"coralrelay/internal/scenario/testbed"
)

const (
	// idleDescriptors is the number of descriptors that a node without clients may hold, in
	// addition to its probe connections, which may take a quarter of nodeSockets.
	idleDescriptors = 24
	// memoryFactor and memoryAllowance limit the memory after quietPeriod relative to the memory
	// before the faults.
	memoryFactor, memoryAllowance = 1.5, 12 << 20
)

// recordLevels records the nodes' memory before the faults.
func (r *run) recordLevels() {
	for _, n := range r.nodes {
		memory := float64(n.currentProcess().ResidentMemory())
		r.Metrics["memory_before_mb"] = max(r.Metrics["memory_before_mb"], memory/1e6)
	}
}

// checkLevels checks that descriptors and memory return to their levels once there are no clients.
func (r *run) checkLevels(ctx context.Context) {
	for _, n := range r.nodes {
		process := n.currentProcess()
		limit := idleDescriptors + nodeSockets/4
		if _, isWithinLimit := testbed.Await(ctx, quietPeriod, func() bool {
			return process.Descriptors() <= limit
		}); !isWithinLimit {
			r.AddViolation("descriptors", fmt.Sprintf("%s holds %d descriptors without clients, %d allowed",
				process.Name, process.Descriptors(), limit))
		}
		memory := float64(process.ResidentMemory()) / 1e6
		r.SetMetric("memory_after_mb", max(r.Metric("memory_after_mb"), memory))
		if allowed := memoryFactor*r.Metric("memory_before_mb") + memoryAllowance/1e6; memory > allowed {
			r.AddViolation("memory", fmt.Sprintf("%s uses %.1f MB of memory, %.1f allowed",
				process.Name, memory, allowed))
		}
		r.checkPeakMemory(process)
	}
}

// checkPeakMemory checks that a process has never been over its memory limit, for which the platform
// would have killed it.
func (r *run) checkPeakMemory(process *testbed.Process) {
	peak := process.PeakMemory()
	r.SetMetric("memory_peak_mb", max(r.Metric("memory_peak_mb"), float64(peak)/1e6))
	if peak > nodeMemoryMB<<20 {
		r.AddViolation("memory", fmt.Sprintf("%s has used %d MiB of memory, %d allowed",
			process.Name, peak>>20, nodeMemoryMB))
	}
}

// endNodes terminates all nodes by SIGTERM and waits for their end.
func (r *run) endNodes(context.Context) {
	var ending errgroup.Group
	for _, n := range r.nodes {
		ending.Go(func() error { n.terminate(n.currentProcess()); return nil })
	}
	_ = ending.Wait()
}
