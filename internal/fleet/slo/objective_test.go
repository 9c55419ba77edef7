package slo

import "testing"

func TestEvaluateObjective(t *testing.T) {
	cfg := DefaultConfig()
	for _, tt := range []struct {
		total, missed, quantile float64
		members                 int
		want                    verdict
	}{
		{0, 0, 0.95, 9, unknown},
		{20, 0, 0.95, 9, unknown},
		{75, 0, 0.95, 9, unknown},
		{76, 0, 0.95, 9, meets},
		{380, 0, 0.99, 9, unknown},
		{397, 0, 0.99, 9, meets},
		{4, 2, 0.95, 9, breaches},
		{20, 2, 0.95, 9, unknown},
		{1000, 50, 0.95, 9, unknown},
		{1000, 70, 0.95, 9, breaches},
		{1000, 30, 0.95, 9, meets},
		{1000, 999, 0.95, 1, unknown},
	} {
		sample := responseCount{total: tt.total, missed: tt.missed, members: tt.members}
		if got := evaluateObjective(&cfg, Guards{}, sample, tt.quantile); got != tt.want {
			t.Errorf("%v of %v missed, %d members: %v, want %v", tt.missed, tt.total, tt.members, got, tt.want)
		}
	}
}
