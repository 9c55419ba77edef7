package main

import (
	"math"
	"runtime"
	"runtime/debug"

	"coralrelay/internal/config"
)

// applyProcessLimits keeps the process within its machine.
func applyProcessLimits(limits config.Limits) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(limits.Cores))))
	debug.SetMemoryLimit(heapLimit(limits))
}

// heapLimit is the part of the memory that the heap may take, in bytes. The rest is for
// stacks' growth, the kernel's share and the binary.
func heapLimit(limits config.Limits) int64 { return int64(limits.MemoryMB) << 20 * 3 / 4 }

// sharedHeapLimit is heapLimit, halved while the sibling process is alive.
func sharedHeapLimit(limits config.Limits, isSiblingAlive bool) int64 {
	if isSiblingAlive {
		return heapLimit(limits) / 2
	}
	return heapLimit(limits)
}
