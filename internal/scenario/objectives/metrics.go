package objectives

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"coralrelay/internal/scenario/testbed"
)

// metricName returns the name of a metric of this run beside those of other variants.
func (r *run) metricName(name string) string {
	if r.variant.name == "" {
		return name
	}
	return r.variant.name + "_" + name
}

// keptPriority is the metric of the share of windows that tenants of a priority had kept.
func keptPriority(priority int) string { return fmt.Sprint("kept_priority_", priority) }

// playedTime returns the time from the first timed phase to the end of the last; ok is false if
// none was played.
func (r *run) playedTime() (played timeRange, ok bool) {
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
	played, ok := r.playedTime()
	if !ok {
		return
	}
	from, until := played.from, played.until.Add(-testbed.FinalAnswerTimeout)
	r.recordKept(from, until)
	moved := 0.0
	for _, change := range r.changesBetween(from, until) {
		moved += change.movedShare
	}
	r.SetMetric(r.metricName("moved_tenants_a_minute"), moved/until.Sub(from).Minutes())
	if r.variant.name == "" {
		r.RequireAtLeast("tenants_up", 1000)
	}
}

// recordKept sets the shares of windows kept, by tenant and by priority. The objective that
// can't be met counts for no priority.
func (r *run) recordKept(from, until time.Time) {
	byPriority := map[int][]float64{}
	for _, t := range r.tenants() {
		share, windows := r.keptShare(t, from, until)
		r.SetMetric(r.metricName("kept_of_"+t.Name), share)
		if t.Name != dream && windows > 0 {
			byPriority[t.Priority] = append(byPriority[t.Priority], share)
		}
	}
	for priority, shares := range byPriority {
		sum := 0.0
		for _, share := range shares {
			sum += share
		}
		r.SetMetric(r.metricName(keptPriority(priority)), sum/float64(len(shares)))
	}
}

// compareWith adds this run's metrics and violations to those of the run that is checked, which
// has to keep more of the first two priorities.
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
		return // the runs are compared over the whole script
	}
	for _, priority := range []int{0, 1} {
		metric := keptPriority(priority)
		if ours, theirs := checked.Metric(metric), r.Metric(r.metricName(metric)); ours <= theirs {
			checked.AddViolation("better", fmt.Sprintf("priority %d: %.3f of windows were kept, %s %.3f",
				priority, ours, r.variant.name, theirs))
		}
	}
}
