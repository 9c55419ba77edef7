package udp

import (
	"os"
	"runtime"
	"strconv"

	"golang.org/x/sys/unix"
)

// reserveProcessors keeps this process off the first processors, if there are enough: two for
// each core of the node's, as two may be one core's. restore undoes it.
func reserveProcessors(cores int) (ok bool, restore func()) {
	var all, rest unix.CPUSet
	if unix.SchedGetaffinity(0, &all) != nil || all.Count() < 2*cores+2 {
		return false, func() {}
	}
	rest = all
	for i := range 2 * cores {
		rest.Clear(i)
	}
	setAllThreads(&rest)
	return all.IsSet(0), func() { setAllThreads(&all) }
}

// setAllThreads sets the processors that the threads of this process may use.
func setAllThreads(processors *unix.CPUSet) {
	tasks, _ := os.ReadDir("/proc/self/task")
	for _, task := range tasks {
		if id, err := strconv.Atoi(task.Name()); err == nil {
			_ = unix.SchedSetaffinity(id, processors)
		}
	}
}

// startPinned calls start, which starts a process, so that the process has the first processors,
// one of each two; if not pinned, it has those of this process.
func startPinned(pinned bool, cores int, start func() error) error {
	if !pinned {
		return start()
	}
	runtime.LockOSThread() // a child has the processors of the thread that starts it
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
