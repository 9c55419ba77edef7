package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestOutliersNeedSeveralReporters(t *testing.T) {
	bad := func(id string) Usage { return Usage{Endpoint: Endpoint{ID: id}, Attempts: 4, FailedAttempts: 3} }
	good := func(id string) Usage { return Usage{Endpoint: Endpoint{ID: id}, Attempts: 4} }
	everyone := func(f func(string) Usage) (all []Usage) {
		for i := range 8 {
			all = append(all, f(fmt.Sprint("s", i)))
		}
		return all
	}
	for _, tt := range []struct {
		name string
		said [][]Usage // by member
		late time.Duration
		want []string
	}{
		{"two of three saw it", [][]Usage{append(everyone(good), bad("s1")), append(everyone(good), bad("s1")), everyone(good)}, 0, []string{"s1"}},
		{"one liar accuses all", [][]Usage{everyone(bad), everyone(good), everyone(good)}, 0, nil},
		{"two liars of five", [][]Usage{everyone(bad), everyone(bad), everyone(good), everyone(good), everyone(good)}, 0, nil},
		{"all fail: no more than a quarter is shunned", [][]Usage{everyone(bad), everyone(bad), everyone(bad)}, 0, []string{"s0", "s1"}},
		{"long ago", [][]Usage{append(everyone(good), bad("s1")), append(everyone(good), bad("s1"))}, cfg.ReportTTL, nil},
		{"a fault now and then", [][]Usage{{{Endpoint: Endpoint{ID: "s1"}, Attempts: 9, FailedAttempts: 1}}, {{Endpoint: Endpoint{ID: "s1"}, Attempts: 9, FailedAttempts: 1}}}, 0, nil},
	} {
		fleet := newTestFleet(len(tt.said), cfg)
		for i, usages := range tt.said {
			fleet.states[0].Merge(fleet.report(i, 0, usages...))
		}
		var got []string
		for _, s := range fleet.states[0].Outliers(fleet.now + tt.late) {
			got = append(got, s.ID)
		}
		if !slices.Equal(got, tt.want) {
			t.Errorf("%s: shunned %v, want %v", tt.name, got, tt.want)
		}
	}
}

// However stale the others' words are, all members' retries together stay below twice the
// share of first tries.
func TestRetriesOfAllMembersStayBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "members")
		fleet := newTestFleet(n, cfg)
		firsts, retries := make([]float64, n), make([]float64, n)
		all := 0.0
		for i := range n {
			firsts[i] = rapid.Float64Range(0, 100).Draw(t, "firsts")
			all += firsts[i]
		}
		newReport := func(i int) Report {
			fleet.seq++
			return Report{Member: fleet.names[i], Incarnation: 1, Seq: fleet.seq, ReportedAt: fleet.now, FirstAttempts: firsts[i], Retries: retries[i]}
		}
		for range 20 {
			for i, s := range fleet.states {
				r := newReport(i)
				s.Merge(r)
				for _, other := range fleet.states {
					if rapid.IntRange(0, 3).Draw(t, "heard") == 0 {
						other.Merge(r)
					}
				}
				retries[i] += s.RetryBudget(fleet.now) * rapid.Float64Range(0, 1).Draw(t, "used")
			}
		}
		sum := 0.0
		for _, r := range retries {
			sum += r
		}
		if sum > 2*cfg.RetryRatio*all+1e-6 {
			t.Fatalf("%.2f retries for %.2f first tries", sum, all)
		}
	})
}
