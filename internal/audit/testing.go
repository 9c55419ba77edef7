package audit

import (
	"fmt"
	"os"
	"sync"
)

// RunTests runs a package's tests, of which any violation is a failure: it is printed as it happens, and
// the tests' result is not 0. It is called by TestMain.
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
