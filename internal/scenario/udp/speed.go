package udp

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"coralrelay/internal/scenario/testbed"
)

const (
	// senderFlows send at once, each from a socket of its own.
	senderFlows = 64
	// batchSize is how many datagrams a system call takes, in the loop as in the node.
	batchSize = 64
	// payloadSize is that of each datagram, in bytes.
	payloadSize = 64
	// measurementTime is how long each measurement takes.
	measurementTime = time.Second
	// measurementRounds are repeats, of which the median counts.
	measurementRounds = 5
	// pacedRate is how many datagrams a second are sent where their delay is measured.
	pacedRate = 10_000
	// minRelativeRate is the share of the bare loop's datagrams that the node is to forward.
	minRelativeRate = 0.8
)

// forwarder is what is measured: the bare loop, if it has no mode, or a node.
type forwarder struct {
	name  string
	mode  string // of the node's sockets
	proxy bool   // with a header of the PROXY protocol
}

// bareLoop is the forwarder that all others are compared with.
var bareLoop = forwarder{name: "bare loop"}

// nodes are the ways in which a node forwards.
var nodes = []forwarder{
	{name: "shared sockets", mode: "shared"},
	{name: "shared sockets, header", mode: "shared", proxy: true},
	{name: "a socket each", mode: "flow"},
}

// measured is what one measurement found.
type measured struct {
	rate   float64                 // datagrams a second
	delays *hdrhistogram.Histogram // microseconds
}

// samples are the values of each metric, one a round.
type samples map[string][]float64

func (s samples) add(metric string, value float64) { s[metric] = append(s[metric], value) }

// addMeasured adds what a forwarder did in one round.
func (s samples) addMeasured(f forwarder, found measured) {
	s.add(f.name+": forwarded a second", found.rate)
	for _, quantile := range []float64{50, 99} {
		s.add(fmt.Sprintf("%s: delay p%g us", f.name, quantile), float64(found.delays.ValueAtQuantile(quantile)))
	}
}

// MeasureSpeed measures what forwarding costs: a bare loop of reads and writes, and the node with a
// socket for each upstream and for each flow, in turn and several times, as the machine's own
// speed changes. The loop has one processor, the node as many as it is given, and all others are
// this process's.
func MeasureSpeed(ctx context.Context, options Options) (*testbed.Result, error) {
	result := testbed.NewResult("udp speed", options.Seed)
	result.ScaledDown = "senders, forwarder and receiver on one machine; datagrams of 64 bytes"
	options.Cores = max(options.Cores, 1)
	pinned, restore := reserveProcessors(options.Cores)
	defer restore()
	if !pinned {
		result.ScaledDown += "; too few processors to keep one for the forwarder"
	}
	dir, remove, err := testbed.TempDir()
	if err != nil {
		return nil, err
	}
	defer remove()
	values := samples{}
	for round := range measurementRounds {
		bareRate := 0.0
		for i, f := range append([]forwarder{bareLoop}, nodes...) {
			m := measurement{Options: options, result: result, forwarder: f, pinned: pinned,
				dir: filepath.Join(dir, fmt.Sprintf("%d.%d", round, i))}
			found, err := m.run(ctx)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", f.name, err)
			}
			values.addMeasured(f, found)
			if f == bareLoop {
				bareRate = found.rate
			} else {
				values.add(f.name+": against the bare loop", found.rate/max(1, bareRate))
			}
			if options.Progress != nil {
				_, _ = fmt.Fprintf(options.Progress, "\rround %d of %d  %-24s %8.0f a second ",
					round+1, measurementRounds, f.name, found.rate)
			}
		}
	}
	for metric, list := range values {
		slices.Sort(list)
		result.SetMetric(metric, list[len(list)/2])
	}
	result.RequireAtLeast("shared sockets: against the bare loop", minRelativeRate)
	return result, nil
}
