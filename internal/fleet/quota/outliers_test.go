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

// attemptedAll returns a usage of each of eight endpoints, with the given number of failed attempts.
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
		{"two of three report a failure", [][]Usage{oneFails, oneFails, healthy}, 0, []string{"s1"}},
		{"one false report of all endpoints", [][]Usage{failing, healthy, healthy}, 0, nil},
		{"two false reports of five", [][]Usage{failing, failing, healthy, healthy, healthy}, 0, nil},
		{"all fail: limited to a quarter", [][]Usage{failing, failing, failing}, 0, []string{"s0", "s1"}},
		{"expired reports", [][]Usage{oneFails, oneFails}, cfg.ReportTTL, nil},
		{"rare failures", [][]Usage{rarelyFails, rarelyFails}, 0, nil},
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
