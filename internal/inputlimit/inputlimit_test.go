package inputlimit

import (
	"errors"
	"os"
	"path/filepath"
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

// A file is read whole up to its limit, and no further than one byte beyond it: also one without an end.
func TestReadFileIsLimited(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(path, []byte("12345"), 0o600); err != nil {
		t.Fatal(err)
	}
	if text, err := ReadFile(path, 5); err != nil || string(text) != "12345" {
		t.Errorf("at the limit: %q, %v", text, err)
	}
	for _, path := range []string{path, "/dev/zero"} {
		limitErr := (*Error)(nil)
		if _, err := ReadFile(path, 4); !errors.As(err, &limitErr) || *limitErr != (Error{File, path, 5, 4}) {
			t.Errorf("%s: %v", path, err)
		}
	}
}
