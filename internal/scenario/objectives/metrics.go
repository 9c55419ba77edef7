package objectives

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"coralrelay/internal/scenario/testbed"
)

// metricName returns the name of a metric of this run, prefixed with the variant unless this is the
// run that is checked.
func (r *run) metricName(name string) string {
	if r.variant.name == "" {
		return name
	}
	return r.variant.name + "_" + name
}

// metShareMetric returns the name of the metric that holds the share of windows in which the
// objectives of a priority's tenants were met.
func metShareMetric(priority int) string { return fmt.Sprint("kept_priority_", priority) }

// timedRange returns the range from the start of the first timed phase to the end of the last. ok
// is false if no timed phase was run.
func (r *run) timedRange() (played timeRange, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, phase := range r.phaseTimes {
		if !ok || phase.from.Before(played.from) {
			played.from = phase.from
		}
		if phase.until.After(played.until) {
			played.until = phase.until
		}
		ok = true
	}
	return played, ok
}

// recordMetrics sets the metrics of the whole run.
func (r *run) recordMetrics() {
	played, ok := r.timedRange()
	if !ok {
		return
	}
	from, until := played.from, played.until.Add(-testbed.FinalAnswerTimeout)
	r.recordMetShares(from, until)
	moved := 0.0
	for _, change := range r.changesBetween(from, until) {
		moved += change.movedShare
	}
	r.SetMetric(r.metricName("moved_tenants_a_minute"), moved/until.Sub(from).Minutes())
	if r.variant.name == "" {
		r.RequireAtLeast("tenants_up", 1000)
	}
}

// recordMetShares sets the shares of windows in which objectives were met, by tenant and by
// priority. The tenant whose objective cannot be met counts for no priority.
func (r *run) recordMetShares(from, until time.Time) {
	byPriority := map[int][]float64{}
	for _, t := range r.tenants() {
		share, windows := r.metShare(t, from, until)
		r.SetMetric(r.metricName("kept_of_"+t.Name), share)
		if t.Name != unmeetable && windows > 0 {
			byPriority[t.Priority] = append(byPriority[t.Priority], share)
		}
	}
	for priority, shares := range byPriority {
		sum := 0.0
		for _, share := range shares {
			sum += share
		}
		r.SetMetric(r.metricName(metShareMetric(priority)), sum/float64(len(shares)))
	}
}

// compareWith adds this run's metrics and violations to those of the run that is checked. The checked
// run must meet the objectives of the first two priorities in a greater share of windows.
func (r *run) compareWith(checked *run) {
	for _, name := range slices.Sorted(maps.Keys(r.Metrics)) {
		if strings.HasPrefix(name, r.variant.name+"_") {
			checked.SetMetric(name, r.Metric(name))
		}
	}
	for _, violation := range r.Violations {
		checked.AddViolation(r.variant.name+" "+violation.Rule, violation.Detail)
	}
	if len(checked.Steps) > 0 {
		return // the comparison is only valid over all phases
	}
	for _, priority := range []int{0, 1} {
		metric := metShareMetric(priority)
		if own, other := checked.Metric(metric), r.Metric(r.metricName(metric)); own <= other {
			checked.AddViolation("better", fmt.Sprintf(
				"priority %d: met in %.3f of windows, in variant %s in %.3f",
				priority, own, r.variant.name, other))
		}
	}
}
