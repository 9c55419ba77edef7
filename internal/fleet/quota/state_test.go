package quota

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// The merged state does not depend on the order of reports, nor on duplicates.
func TestMergeConvergesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reports []Report
		for range rapid.IntRange(1, 12).Draw(t, "reports") {
			report := Report{
				Member:      fmt.Sprint("n", rapid.IntRange(0, 3).Draw(t, "member")),
				Incarnation: int64(rapid.IntRange(1, 2).Draw(t, "boot")),
				Seq:         uint64(rapid.IntRange(1, 4).Draw(t, "seq")),
			}
			// Reports with the same Incarnation and Seq must have the same content.
			report.FirstAttempts = float64(report.Incarnation)*10 + float64(report.Seq)
			reports = append(reports, report)
		}
		first, second := newTestFleet(4).states[0], newTestFleet(4).states[0]
		for _, report := range reports {
			first.Merge(report)
		}
		for _, report := range rapid.Permutation(append(slices.Clone(reports), reports...)).Draw(t, "order") {
			second.Merge(report)
		}
		for name := range first.members {
			x, y := first.members[name].report, second.members[name].report
			if (x == nil) != (y == nil) || x != nil && x.FirstAttempts != y.FirstAttempts {
				t.Fatalf("%s: reports differ: %v and %v", name, x, y)
			}
		}
	})
}
