package inputlimit

import (
	"strings"
	"testing"
)

// Each limit has a name of its own, and an error names the limit, the peer and both sizes, and is counted.
func TestErrorsAreNamedAndCounted(t *testing.T) {
	names := map[string]bool{}
	for limit := range Count {
		names[limit.String()] = true
		before := ExceededCount(limit)
		err := Exceeded(limit, "10.2.0.1:8500", 17, 16)
		for _, part := range []string{limit.String(), "10.2.0.1:8500", "17", "at most 16"} {
			if !strings.Contains(err.Error(), part) {
				t.Errorf("error %q does not contain %q", err, part)
			}
		}
		if count := ExceededCount(limit) - before; count != 1 {
			t.Errorf("%v was counted %d times, want once", limit, count)
		}
	}
	if len(names) != int(Count) || names[""] {
		t.Errorf("%d names for %d limits", len(names), Count)
	}
}
