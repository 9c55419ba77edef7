// Package audit records the outcomes of sessions for troubleshooting: counts by reason, the latest state
// changes in a ring buffer, and violations of the invariants of package lifecycle. A violation is counted
// by kind and logged, at most once a second, with the recorded state changes of its session; the process
// continues. Tests use SetViolationHandler to fail on a violation.
//
// The package starts no goroutine. Its functions may be called by several goroutines at once.
package audit
