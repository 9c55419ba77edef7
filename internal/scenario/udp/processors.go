package udp

import (
	"os"
	"runtime"
	"strconv"

	"golang.org/x/sys/unix"
)

// reserveProcessors excludes this process from the first processors, two for each of the node's
// cores, because two processors may be hardware threads of one core. It does nothing if there are too
// few processors. ok is true if startPinned may use the reserved ones; restore undoes the change.
func reserveProcessors(cores int) (ok bool, restore func()) {
	var all, remaining unix.CPUSet
	if unix.SchedGetaffinity(0, &all) != nil || all.Count() < 2*cores+2 {
		return false, func() {}
	}
	remaining = all
	for i := range 2 * cores {
		remaining.Clear(i)
	}
	setAllThreads(&remaining)
	return all.IsSet(0), func() { setAllThreads(&all) }
}

// setAllThreads sets the processor affinity of all threads of this process.
func setAllThreads(processors *unix.CPUSet) {
	tasks, _ := os.ReadDir("/proc/self/task")
	for _, task := range tasks {
		if id, err := strconv.Atoi(task.Name()); err == nil {
			_ = unix.SchedSetaffinity(id, processors)
		}
	}
}

// startPinned calls start, which starts a process. If pinned, that process runs on every second one
// of the reserved processors, one per core; otherwise it runs on the processors of this process.
func startPinned(pinned bool, cores int, start func() error) error {
	if !pinned {
		return start()
	}
	runtime.LockOSThread() // a child inherits the affinity of the thread that starts it
	defer runtime.UnlockOSThread()
	var before, reserved unix.CPUSet
	if err := unix.SchedGetaffinity(0, &before); err != nil {
		return err
	}
	for i := range cores {
		reserved.Set(2 * i)
	}
	if err := unix.SchedSetaffinity(0, &reserved); err != nil {
		return err
	}
	defer func() { _ = unix.SchedSetaffinity(0, &before) }()
	return start()
}
