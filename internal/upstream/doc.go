// Package upstream is the node's side towards the endpoints: it makes attempts, one connection
// each, and probes, over one kept connection to each endpoint.
//
// A Pool starts one goroutine for each endpoint of discovery's list, which owns the probe
// connection and ends when the endpoint leaves the list or New's context ends; and one for each
// attempt, which ends with its session's context or at its deadline. Results are reported to
// the Observer; no method returns an error.
package upstream
