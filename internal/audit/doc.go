// Package audit records what became of sessions and why, for whoever looks for a fault: counts by
// reason, the latest state changes in a bounded ring, and violations of the invariants of package
// lifecycle. A violation is counted by kind and logged, once a second, with the ring's entries of its
// session; the process goes on. Tests make a violation fail with SetViolationHandler.
//
// It starts no goroutine. Its functions may be called by several goroutines at once.
package audit
