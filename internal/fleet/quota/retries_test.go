package quota

import (
	"testing"

	"pgregory.net/rapid"
)

// The sum of all members' retries stays below twice RetryRatio times their first attempts, however
// stale the reports of other members are.
func TestRetriesOfAllMembersStayBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(1, 9).Draw(t, "members")
		fleet := newTestFleet(members)
		firstAttempts, retries := make([]float64, members), make([]float64, members)
		totalFirst := 0.0
		for i := range members {
			firstAttempts[i] = rapid.Float64Range(0, 100).Draw(t, "firsts")
			totalFirst += firstAttempts[i]
		}
		for range 20 {
			for i, state := range fleet.states {
				fleet.seq++
				report := Report{
					Member:        fleet.names[i],
					Incarnation:   1,
					Seq:           fleet.seq,
					ReportedAt:    fleet.now,
					FirstAttempts: firstAttempts[i],
					Retries:       retries[i],
				}
				state.Merge(report)
				for _, other := range fleet.states {
					if rapid.IntRange(0, 3).Draw(t, "heard") == 0 {
						other.Merge(report)
					}
				}
				retries[i] += state.RetryBudget(fleet.now) * rapid.Float64Range(0, 1).Draw(t, "used")
			}
		}
		totalRetries := 0.0
		for _, count := range retries {
			totalRetries += count
		}
		if totalRetries > 2*cfg.RetryRatio*totalFirst+1e-6 {
			t.Fatalf("%.2f retries for %.2f first attempts", totalRetries, totalFirst)
		}
	})
}
