package objectives

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"coralrelay/internal/scenario/testbed"
)

func (s *run) metricName(name string) string {
	if s.variant == "" {
		return name
	}
	return s.variant + "_" + name
}

// figures are those of the whole run.
func (s *run) recordMetrics() {
	s.mu.Lock()
	from, until := time.Time{}, time.Time{}
	for _, p := range s.phaseTimes {
		if from.IsZero() || p[0].Before(from) {
			from = p[0]
		}
		if p[1].After(until) {
			until = p[1]
		}
	}
	s.mu.Unlock()
	if from.IsZero() {
		return
	}
	until = until.Add(-testbed.Patience)
	kept := map[int][]float64{}
	for _, t := range s.tenants() {
		share, n := s.keptShare(t, from, until)
		s.SetMetric(s.metricName("kept_of_"+t.Name), share)
		if t.Name != "dream" && n > 0 {
			kept[t.Priority] = append(kept[t.Priority], share)
		}
	}
	for priority, list := range kept {
		sum := 0.0
		for _, share := range list {
			sum += share
		}
		s.SetMetric(s.metricName(fmt.Sprint("kept_priority_", priority)), sum/float64(len(list)))
	}
	moved := 0.0
	for _, x := range s.changesBetween(from, until) {
		moved += x.movedShare
	}
	s.SetMetric(s.metricName("moved_tenants_a_minute"), moved/until.Sub(from).Minutes())
	if s.variant == "" {
		s.RequireAtLeast("tenants_up", 1000)
	}
}

// beside puts a run's figures beside those of the one that is checked, which has to keep more
// of the first two priorities.
func (s *run) compareWith(first *run) {
	for _, name := range slices.Sorted(ownMetricNames(s)) {
		first.SetMetric(name, s.Metric(name))
	}
	for _, v := range s.Violations {
		first.AddViolation(s.variant+" "+v.Rule, v.Detail)
	}
	for _, priority := range []int{0, 1} {
		figure := fmt.Sprint("kept_priority_", priority)
		if is, was := first.Metric(figure), s.Metric(s.metricName(figure)); is <= was && len(first.Steps) == 0 {
			first.AddViolation("better", fmt.Sprintf("priority %d: %.3f of windows were kept, %s %.3f", priority, is, s.variant, was))
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
