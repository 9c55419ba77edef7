package resume

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// minMovesForAllFaults is the number of moves from which a run must include every kind of fault.
const minMovesForAllFaults = 500

// histograms holds durations in microseconds, by whether the client presented a token.
type histograms map[bool]*hdrhistogram.Histogram

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

func newHistograms() histograms { return histograms{false: newHistogram(), true: newHistogram()} }

// quantileMs returns a percentile, 0 to 100, in milliseconds from a histogram in microseconds.
func quantileMs(histogram *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(histogram.ValueAtQuantile(quantile)) / 1000
}

// recordMetrics sets the metrics of the whole run, and requires that the checked events occurred.
func (r *run) recordMetrics() {
	r.SetMetric("gap ms p50", quantileMs(r.deliveryGaps, 50))
	r.SetMetric("gap ms p99", quantileMs(r.deliveryGaps, 99))
	for presented, name := range map[bool]string{true: "with a token", false: "without"} {
		for _, quantile := range []float64{50, 99} {
			setup := quantileMs(r.setupTimes[presented], quantile)
			r.SetMetric(fmt.Sprintf("set-up ms p%g %s", quantile, name), setup)
			streamStart := quantileMs(r.streamStartTimes[presented], quantile)
			r.SetMetric(fmt.Sprintf("stream begins ms p%g %s", quantile, name), streamStart)
		}
	}
	r.SetMetric("bytes of resumptions against snapshots",
		r.Metric("bytes of resumptions")/max(1, r.Metric("bytes of snapshots in their place")))
	presentations := r.Metric("presented again") + r.Metric("stolen") + r.Metric("spoiled") +
		r.Metric("presentations served")
	r.SetMetric("refused tokens", presentations-r.Metric("resumed"))

	for _, metric := range []string{
		"drains", "presented again", "stolen", "spoiled", "snapshots", "resumed",
	} {
		r.RequireAtLeast(metric, 1)
	}
	if r.Moves < minMovesForAllFaults {
		return
	}
	for _, metric := range []string{
		"planned restarts", "nodes killed", "servers killed", "overloads", "key rotations",
		"tokens with a peer as arbiter",
	} {
		r.RequireAtLeast(metric, 1)
	}
	r.RequireAtLeast("resumed", r.Metric("moves")/4)
}
