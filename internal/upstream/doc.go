// Package upstream is the node's side towards the endpoints. It makes attempts, each over a
// connection of its own, and probes, over connections from a bounded pool.
//
// A Pool starts one goroutine for each probe, which ends at the probe's timeout, when the endpoint
// leaves the list or when New's context ends, and one for each attempt, which ends with its
// session's context or at its deadline. An endpoint that is not being probed has no goroutine and
// at most one idle connection. Results are reported to the Observer; no method except DialUntil
// returns an error.
package upstream
