package udp

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"time"

	"golang.org/x/sys/unix"

	"coralrelay/internal/scenario/testbed"
)

const (
	// speedFlows send at once, each from a socket of its own.
	senderFlows = 64
	// speedBatch is how many datagrams a system call takes, in the loop as in the node.
	batchSize = 64
	// speedPhase is how long each measurement takes.
	measurementTime = time.Second
	// speedRounds are repeats, of which the median counts.
	measurementRounds = 5
	// pacedRate is how many datagrams a second are sent where their delay is measured.
	pacedRate = 10_000
	// atLeast is the share of the bare loop's datagrams that the node is to forward.
	minRelativeRate = 0.8
)

// way is one forwarder.
type forwarder struct {
	name, mode string // a bare loop without a mode
	proxy      bool
}

var forwarders = []forwarder{{"bare loop", "", false}, {"shared sockets", "shared", false}, {"shared sockets, header", "shared", true}, {"a socket each", "flow", false}}

// PlaySpeed measures what forwarding costs: a bare loop of reads and writes, and the node
// with a socket for each next hop and for each flow, in turn and several times, as the
// machine's own pace changes. The loop has one processor, the node as many as it is given,
// and all others are the rig's.
func PlaySpeed(ctx context.Context, options Options) (*testbed.Result, error) {
	result := testbed.NewResult("udp speed", options.Seed)
	result.ScaledDown = "senders, forwarder and receiver on one machine; datagrams of 64 bytes"
	options.Cores = max(options.Cores, 1)
	apart, restore := reserveProcessors(options.Cores)
	defer restore()
	if !apart {
		result.ScaledDown += "; too few processors to keep one for the forwarder"
	}
	dir, err := os.MkdirTemp("", "coralscenario-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	samples := map[string][]float64{}
	for round := range measurementRounds {
		for i, forwarder := range forwarders {
			rate, delay, err := measure(ctx, result, forwarder, options, filepath.Join(dir, fmt.Sprintf("%d.%d", round, i)), apart)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", forwarder.name, err)
			}
			samples[forwarder.name+": forwarded a second"] = append(samples[forwarder.name+": forwarded a second"], rate)
			for _, q := range []float64{50, 99} {
				name := fmt.Sprintf("%s: delay p%g us", forwarder.name, q)
				samples[name] = append(samples[name], float64(delay.ValueAtQuantile(q)))
			}
			if i > 0 {
				base := samples[forwarders[0].name+": forwarded a second"][round]
				samples[forwarder.name+": against the bare loop"] = append(samples[forwarder.name+": against the bare loop"], rate/max(1, base))
			}
			if options.Progress != nil {
				fmt.Fprintf(options.Progress, "\rround %d of %d  %-24s %8.0f a second ", round+1, measurementRounds, forwarder.name, rate)
			}
		}
	}
	for name, list := range samples {
		slices.Sort(list)
		result.SetMetric(name, list[len(list)/2])
	}
	result.RequireAtLeast("shared sockets: against the bare loop", minRelativeRate)
	return result, nil
}

// pinned keeps this process off the first processors, two for each core of the node's, as
// two may be one core's, if there are enough. restore undoes it.
func reserveProcessors(cores int) (ok bool, restore func()) {
	var all, rest unix.CPUSet
	if unix.SchedGetaffinity(0, &all) != nil || all.Count() < 2*cores+2 {
		return false, func() {}
	}
	rest = all
	for i := range 2 * cores {
		rest.Clear(i)
	}
	everywhere := func(set *unix.CPUSet) {
		tasks, _ := os.ReadDir("/proc/self/task")
		for _, t := range tasks {
			if tid, err := strconv.Atoi(t.Name()); err == nil {
				_ = unix.SchedSetaffinity(tid, set)
			}
		}
	}
	everywhere(&rest)
	return all.IsSet(0), func() { everywhere(&all) }
}

// alone runs what starts a process, so that it has the first processors, one of each two.
func startPinned(apart bool, cores int, start func() error) error {
	if !apart {
		return start()
	}
	runtime.LockOSThread() // a child has the processors of the thread that starts it
	defer runtime.UnlockOSThread()
	var was, some unix.CPUSet
	if err := unix.SchedGetaffinity(0, &was); err != nil {
		return err
	}
	for i := range cores {
		some.Set(2 * i)
	}
	if err := unix.SchedSetaffinity(0, &some); err != nil {
		return err
	}
	defer func() { _ = unix.SchedSetaffinity(0, &was) }()
	return start()
}
