package audit

import (
	"fmt"
	"os"
	"sync"
)

// RunTests runs a package's tests and returns their exit code. It is called by TestMain. Every violation
// during the tests is printed and makes the exit code differ from 0.
func RunTests(run func() int) (exitCode int) {
	var mu sync.Mutex
	violated := false
	SetViolationHandler(func(kind Violation, id string) {
		mu.Lock()
		defer mu.Unlock()
		violated = true
		fmt.Fprintf(os.Stderr, "--- FAIL: invariant violated: %v by %q: %q\n", kind, id, History(id))
	})
	exitCode = run()
	mu.Lock()
	defer mu.Unlock()
	if violated && exitCode == 0 {
		return 1
	}
	return exitCode
}
