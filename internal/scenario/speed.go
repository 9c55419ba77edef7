package scenario

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
	speedFlows = 64
	// speedBatch is how many datagrams a system call takes, in the loop as in the node.
	speedBatch = 64
	// speedPhase is how long each measurement takes.
	speedPhase = time.Second
	// speedRounds are repeats, of which the median counts.
	speedRounds = 5
	// pacedRate is how many datagrams a second are sent where their delay is measured.
	pacedRate = 10_000
	// atLeast is the share of the bare loop's datagrams that the node is to forward.
	atLeast = 0.8
)

// way is one forwarder.
type way struct {
	name, mode string // a bare loop without a mode
	proxy      bool
}

var ways = []way{{"bare loop", "", false}, {"shared sockets", "shared", false}, {"shared sockets, header", "shared", true}, {"a socket each", "flow", false}}

// UDPSpeed measures what forwarding costs: a bare loop of reads and writes, and the node
// with a socket for each next hop and for each flow, in turn and several times, as the
// machine's own pace changes. The loop has one processor, the node as many as it is given,
// and all others are the rig's.
func UDPSpeed(ctx context.Context, o UDPOptions) (*testbed.Result, error) {
	r := testbed.NewResult("udp speed", o.Seed)
	r.ScaledDown = "senders, forwarder and receiver on one machine; datagrams of 64 bytes"
	o.Cores = max(o.Cores, 1)
	apart, restore := pinned(o.Cores)
	defer restore()
	if !apart {
		r.ScaledDown += "; too few processors to keep one for the forwarder"
	}
	dir, err := os.MkdirTemp("", "coralscenario-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	figures := map[string][]float64{}
	for round := range speedRounds {
		for i, w := range ways {
			rate, delay, err := speedOf(ctx, r, w, o, filepath.Join(dir, fmt.Sprintf("%d.%d", round, i)), apart)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", w.name, err)
			}
			figures[w.name+": forwarded a second"] = append(figures[w.name+": forwarded a second"], rate)
			for _, q := range []float64{50, 99} {
				name := fmt.Sprintf("%s: delay p%g us", w.name, q)
				figures[name] = append(figures[name], float64(delay.ValueAtQuantile(q)))
			}
			if i > 0 {
				base := figures[ways[0].name+": forwarded a second"][round]
				figures[w.name+": against the bare loop"] = append(figures[w.name+": against the bare loop"], rate/max(1, base))
			}
			if o.Progress != nil {
				fmt.Fprintf(o.Progress, "\rround %d of %d  %-24s %8.0f a second ", round+1, speedRounds, w.name, rate)
			}
		}
	}
	for name, list := range figures {
		slices.Sort(list)
		r.SetMetric(name, list[len(list)/2])
	}
	r.RequireAtLeast("shared sockets: against the bare loop", atLeast)
	return r, nil
}

// pinned keeps this process off the first processors, two for each core of the node's, as
// two may be one core's, if there are enough. restore undoes it.
func pinned(cores int) (ok bool, restore func()) {
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
func alone(apart bool, cores int, start func() error) error {
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
