package agent

import (
	"slices"
	"time"

	"coralrelay/internal/fleet/slo"
)

// intervalCounts are the numbers of session set-ups in an interval that has ended.
type intervalCounts struct {
	interval             int64 // number of the interval
	byContract, byRegion map[string]float64
}

// setupRates are session set-ups a second, in the time of Config.
type setupRates struct {
	byContract, byRegion map[string]float64
}

// countSetups adds the observations to the counts of their intervals, and drops the counts of intervals
// that are too old. An interval without any observation counts as one without set-ups as soon as a later
// interval has observations.
func (o *objectiveManager) countSetups(now time.Duration, observations []slo.Observation) {
	for _, observation := range observations {
		if n := len(o.intervals); n == 0 || o.intervals[n-1].interval < observation.Interval {
			o.intervals = append(o.intervals, intervalCounts{
				interval:   observation.Interval,
				byContract: map[string]float64{},
				byRegion:   map[string]float64{},
			})
		}
		counts := &o.intervals[len(o.intervals)-1]
		setups := float64(observation.Histogram.Count())
		counts.byContract[observation.Contract] += setups
		counts.byRegion[observation.Region] += setups
	}
	last := int64((o.ScaledTime(now)-o.Config.LateSampleTimeout)/o.Config.SampleInterval) - 1
	oldest := last - int64(o.Config.EvidenceIntervals)
	o.intervals = slices.DeleteFunc(o.intervals, func(counts intervalCounts) bool { return counts.interval <= oldest })
}

// setupRates returns the mean rates over the intervals that are kept.
func (o *objectiveManager) setupRates() setupRates {
	rates := setupRates{byContract: map[string]float64{}, byRegion: map[string]float64{}}
	if len(o.intervals) == 0 {
		return rates
	}
	first, last := o.intervals[0].interval, o.intervals[len(o.intervals)-1].interval
	seconds := float64(last-first+1) * o.Config.SampleInterval.Seconds()
	for _, counts := range o.intervals {
		for name, n := range counts.byContract {
			rates.byContract[name] += n / seconds
		}
		for name, n := range counts.byRegion {
			rates.byRegion[name] += n / seconds
		}
	}
	return rates
}
