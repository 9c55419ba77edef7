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
	// restingDescriptors is what a node without clients holds beside its probe connections, which may
	// take a quarter of what it may hold.
	restingDescriptors = 24
	// memoryFactor and memoryAllowance bound the memory after the quiet by what it was before the faults.
	memoryFactor, memoryAllowance = 1.5, 12 << 20
)

// recordLevels notes what each node needs before the faults.
func (r *run) recordLevels() {
	for _, n := range r.nodes {
		memory := residentMemory(n.currentProcess())
		r.Metrics["memory_before_mb"] = max(r.Metrics["memory_before_mb"], memory/1e6)
	}
}

// checkLevels: without clients, descriptors, threads and memory return to their level.
func (r *run) checkLevels(ctx context.Context) {
	for _, n := range r.nodes {
		process := n.currentProcess()
		limit := restingDescriptors + nodeSockets/4
		if _, held := testbed.Await(ctx, quiet, func() bool { return process.Descriptors() <= limit }); !held {
			r.AddViolation("descriptors", fmt.Sprintf("%s holds %d without a client, %d allowed", process.Name, process.Descriptors(), limit))
		}
		memory := residentMemory(process) / 1e6
		r.SetMetric("memory_after_mb", max(r.Metric("memory_after_mb"), memory))
		if allowed := memoryFactor*r.Metric("memory_before_mb") + memoryAllowance/1e6; memory > allowed {
			r.AddViolation("memory", fmt.Sprintf("%s holds %.1f MB, %.1f allowed", process.Name, memory, allowed))
		}
	}
}

// residentMemory is a process's resident memory in bytes, 0 if it can't be read.
func residentMemory(process *testbed.Process) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", process.Pid()))
	if err != nil {
		return 0
	}
	var size, resident int64 // pages
	if _, err := fmt.Sscan(strings.TrimSpace(string(raw)), &size, &resident); err != nil {
		return 0
	}
	return float64(resident * int64(os.Getpagesize()))
}

// endNodes has all nodes end by SIGTERM, in time.
func (r *run) endNodes(context.Context) {
	var ending errgroup.Group
	for _, n := range r.nodes {
		ending.Go(func() error { n.terminate(n.currentProcess()); return nil })
	}
	_ = ending.Wait()
}
