package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func attempted(id string, attempts, failed float64) Usage {
	return Usage{Endpoint: Endpoint{ID: id}, Attempts: attempts, FailedAttempts: failed}
}

// attemptedAll is a usage of each of eight endpoints, with as many failed attempts.
func attemptedAll(failed float64) (usages []Usage) {
	for i := range 8 {
		usages = append(usages, attempted(fmt.Sprint("s", i), 4, failed))
	}
	return usages
}

func TestOutliersNeedSeveralReporters(t *testing.T) {
	healthy, failing := attemptedAll(0), attemptedAll(3)
	oneFails := append(attemptedAll(0), attempted("s1", 4, 3))
	rarelyFails := []Usage{attempted("s1", 9, 1)}
	for _, tt := range []struct {
		name    string
		reports [][]Usage // by member
		age     time.Duration
		want    []string
	}{
		{"two of three saw it", [][]Usage{oneFails, oneFails, healthy}, 0, []string{"s1"}},
		{"one liar accuses all", [][]Usage{failing, healthy, healthy}, 0, nil},
		{"two liars of five", [][]Usage{failing, failing, healthy, healthy, healthy}, 0, nil},
		{"all fail: a quarter at most", [][]Usage{failing, failing, failing}, 0, []string{"s0", "s1"}},
		{"long ago", [][]Usage{oneFails, oneFails}, cfg.ReportTTL, nil},
		{"a fault now and then", [][]Usage{rarelyFails, rarelyFails}, 0, nil},
	} {
		fleet := newTestFleet(len(tt.reports))
		for i, usages := range tt.reports {
			fleet.states[0].Merge(fleet.report(i, 0, usages...))
		}
		var got []string
		for _, endpoint := range fleet.states[0].Outliers(fleet.now + tt.age) {
			got = append(got, endpoint.ID)
		}
		if !slices.Equal(got, tt.want) {
			t.Errorf("%s: outliers %v, want %v", tt.name, got, tt.want)
		}
	}
}
