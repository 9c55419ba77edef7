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
	// senderFlows is the number of concurrent flows, each with its own socket.
	senderFlows = 64
	// batchSize is the maximum number of datagrams per system call, in the bare loop as in the node.
	batchSize = 64
	// payloadSize is the size of each datagram's payload in bytes.
	payloadSize = 64
	// measurementTime is the duration of each of the two measurements, of delay and of rate.
	measurementTime = time.Second
	// measurementRounds is the number of rounds, whose median is reported.
	measurementRounds = 5
	// pacedRate is the rate, in datagrams per second, at which the delay is measured.
	pacedRate = 10_000
	// minRelativeRate is the minimum of the node's rate relative to the bare loop's.
	minRelativeRate = 0.8
)

// forwarder describes what is measured: a node, or the bare loop, which has no mode.
type forwarder struct {
	name  string
	mode  string // UDP mode of the node: shared or flow
	proxy bool   // the node sends PROXY protocol headers
}

// bareLoop is the baseline that nodes are compared with.
var bareLoop = forwarder{name: "bare loop"}

// nodeForwarders are the node configurations that are measured.
var nodeForwarders = []forwarder{
	{name: "shared sockets", mode: "shared"},
	{name: "shared sockets, header", mode: "shared", proxy: true},
	{name: "a socket each", mode: "flow"},
}

// measurementResult is the result of one measurement.
type measurementResult struct {
	rate   float64                 // datagrams per second
	delays *hdrhistogram.Histogram // microseconds
}

// samples holds the values of each metric, one per round.
type samples map[string][]float64

func (s samples) add(metric string, value float64) { s[metric] = append(s[metric], value) }

// addResult adds the rate and the delays of a forwarder in one round.
func (s samples) addResult(f forwarder, measured measurementResult) {
	s.add(f.name+": forwarded a second", measured.rate)
	for _, quantile := range []float64{50, 99} {
		s.add(fmt.Sprintf("%s: delay p%g us", f.name, quantile),
			float64(measured.delays.ValueAtQuantile(quantile)))
	}
}

// MeasureSpeed measures the cost of forwarding. Each round measures a bare loop of reads and writes,
// the node with one socket per upstream, with and without PROXY headers, and the node with one socket
// per flow. There are several rounds, because the machine's own speed varies. The bare loop runs on
// one processor and the node on options.Cores; this process uses processors that are not reserved.
func MeasureSpeed(ctx context.Context, options Options) (*testbed.Result, error) {
	result := testbed.NewResult("udp speed", options.Seed)
	result.ScaledDown = "senders, forwarder and receiver on one machine; datagrams of 64 bytes"
	options.Cores = max(options.Cores, 1)
	pinned, restore := reserveProcessors(options.Cores)
	defer restore()
	if !pinned {
		result.ScaledDown += "; too few processors to reserve one for the forwarder"
	}
	dir, remove, err := testbed.TempDir()
	if err != nil {
		return nil, err
	}
	defer remove()
	values := samples{}
	for round := range measurementRounds {
		bareRate := 0.0
		for i, f := range append([]forwarder{bareLoop}, nodeForwarders...) {
			m := measurement{Options: options, result: result, forwarder: f, pinned: pinned,
				dir: filepath.Join(dir, fmt.Sprintf("%d.%d", round, i))}
			measured, err := m.run(ctx)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", f.name, err)
			}
			values.addResult(f, measured)
			if f == bareLoop {
				bareRate = measured.rate
			} else {
				values.add(f.name+": against the bare loop", measured.rate/max(1, bareRate))
			}
			if options.Progress != nil {
				_, _ = fmt.Fprintf(options.Progress, "\rround %d of %d  %-24s %8.0f a second ",
					round+1, measurementRounds, f.name, measured.rate)
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
