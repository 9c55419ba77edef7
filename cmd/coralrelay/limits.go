package main

import (
	"math"
	"runtime"
	"runtime/debug"

	"coralrelay/internal/config"
)

// applyProcessLimits sets the runtime's processor and memory limits from the configuration.
func applyProcessLimits(limits config.Limits) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(limits.Cores))))
	debug.SetMemoryLimit(heapLimit(limits))
}

// heapLimit returns the runtime's memory limit in bytes: three quarters of the process's memory. The
// rest is left for the growth of stacks, the kernel's share and the binary.
func heapLimit(limits config.Limits) int64 { return int64(limits.MemoryMB) << 20 * 3 / 4 }

// sharedHeapLimit returns heapLimit, halved while the sibling process is alive.
func sharedHeapLimit(limits config.Limits, isSiblingAlive bool) int64 {
	if isSiblingAlive {
		return heapLimit(limits) / 2
	}
	return heapLimit(limits)
}
