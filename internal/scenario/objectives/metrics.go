package objectives

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"coralrelay/internal/scenario/testbed"
)

func (r *run) metricName(name string) string {
	if r.variant == "" {
		return name
	}
	return r.variant + "_" + name
}

// figures are those of the whole run.
func (r *run) recordMetrics() {
	r.mu.Lock()
	from, until := time.Time{}, time.Time{}
	for _, p := range r.phaseTimes {
		if from.IsZero() || p[0].Before(from) {
			from = p[0]
		}
		if p[1].After(until) {
			until = p[1]
		}
	}
	r.mu.Unlock()
	if from.IsZero() {
		return
	}
	until = until.Add(-testbed.Patience)
	kept := map[int][]float64{}
	for _, t := range r.tenants() {
		share, n := r.keptShare(t, from, until)
		r.SetMetric(r.metricName("kept_of_"+t.Name), share)
		if t.Name != "dream" && n > 0 {
			kept[t.Priority] = append(kept[t.Priority], share)
		}
	}
	for priority, list := range kept {
		sum := 0.0
		for _, share := range list {
			sum += share
		}
		r.SetMetric(r.metricName(fmt.Sprint("kept_priority_", priority)), sum/float64(len(list)))
	}
	moved := 0.0
	for _, x := range r.changesBetween(from, until) {
		moved += x.movedShare
	}
	r.SetMetric(r.metricName("moved_tenants_a_minute"), moved/until.Sub(from).Minutes())
	if r.variant == "" {
		r.RequireAtLeast("tenants_up", 1000)
	}
}

// beside puts a run's figures beside those of the one that is checked, which has to keep more
// of the first two priorities.
func (r *run) compareWith(first *run) {
	for _, name := range slices.Sorted(ownMetricNames(r)) {
		first.SetMetric(name, r.Metric(name))
	}
	for _, v := range r.Violations {
		first.AddViolation(r.variant+" "+v.Rule, v.Detail)
	}
	for _, priority := range []int{0, 1} {
		figure := fmt.Sprint("kept_priority_", priority)
		if is, was := first.Metric(figure), r.Metric(r.metricName(figure)); is <= was && len(first.Steps) == 0 {
			first.AddViolation("better", fmt.Sprintf("priority %d: %.3f of windows were kept, %s %.3f", priority, is, r.variant, was))
		}
	}
}

func ownMetricNames(s *run) func(func(string) bool) {
	return func(yield func(string) bool) {
		for name := range s.Metrics {
			if strings.HasPrefix(name, s.variant+"_") && !yield(name) {
				return
			}
		}
	}
}
