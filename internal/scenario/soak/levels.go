package soak

import (
	"context"
	"fmt"
	"os"
	"strings"

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
		memory := residentMemory(n.currentProcess())
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
		memory := residentMemory(process) / 1e6
		r.SetMetric("memory_after_mb", max(r.Metric("memory_after_mb"), memory))
		if allowed := memoryFactor*r.Metric("memory_before_mb") + memoryAllowance/1e6; memory > allowed {
			r.AddViolation("memory", fmt.Sprintf("%s uses %.1f MB of memory, %.1f allowed",
				process.Name, memory, allowed))
		}
	}
}

// residentMemory returns a process's resident memory in bytes, or 0 if it cannot be read.
func residentMemory(process *testbed.Process) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", process.Pid()))
	if err != nil {
		return 0
	}
	var size, resident int64 // in pages
	if _, err := fmt.Sscan(strings.TrimSpace(string(raw)), &size, &resident); err != nil {
		return 0
	}
	return float64(resident * int64(os.Getpagesize()))
}

// endNodes terminates all nodes by SIGTERM and waits for their end.
func (r *run) endNodes(context.Context) {
	var ending errgroup.Group
	for _, n := range r.nodes {
		ending.Go(func() error { n.terminate(n.currentProcess()); return nil })
	}
	_ = ending.Wait()
}
