package agent

import (
	"slices"
	"time"

	"coralrelay/internal/fleet/slo"
)

// intervalCounts is how many connection set-ups were counted in an interval that is over.
type intervalCounts struct {
	interval             int64 // its number
	byContract, byRegion map[string]float64
}

// setupRates are connection set-ups a second, of the Config's seconds.
type setupRates struct {
	byContract, byRegion map[string]float64
}

// countSetups adds up the observations. An interval in which nobody measured anything counts
// as well, once a later one has come.
func (k *objectiveKeeper) countSetups(now time.Duration, observations []slo.Observation) {
	for _, observation := range observations {
		if n := len(k.intervals); n == 0 || k.intervals[n-1].interval < observation.Interval {
			k.intervals = append(k.intervals, intervalCounts{
				interval:   observation.Interval,
				byContract: map[string]float64{},
				byRegion:   map[string]float64{},
			})
		}
		counts := &k.intervals[len(k.intervals)-1]
		setups := float64(observation.Histogram.Count())
		counts.byContract[observation.Contract] += setups
		counts.byRegion[observation.Region] += setups
	}
	last := int64((k.ScaledTime(now)-k.Config.LateSampleTimeout)/k.Config.SampleInterval) - 1
	oldest := last - int64(k.Config.EvidenceIntervals)
	k.intervals = slices.DeleteFunc(k.intervals, func(counts intervalCounts) bool { return counts.interval <= oldest })
}

// setupRates returns the rates over the intervals that are kept.
func (k *objectiveKeeper) setupRates() setupRates {
	rates := setupRates{byContract: map[string]float64{}, byRegion: map[string]float64{}}
	if len(k.intervals) == 0 {
		return rates
	}
	first, last := k.intervals[0].interval, k.intervals[len(k.intervals)-1].interval
	seconds := float64(last-first+1) * k.Config.SampleInterval.Seconds()
	for _, counts := range k.intervals {
		for name, n := range counts.byContract {
			rates.byContract[name] += n / seconds
		}
		for name, n := range counts.byRegion {
			rates.byRegion[name] += n / seconds
		}
	}
	return rates
}
