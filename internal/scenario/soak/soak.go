// Package soak runs the soak test. A fleet of real nodes, with a fault proxy on every link, serves
// well-behaved and misbehaving clients while faults drawn from a seed overlap: signals, restarts,
// cut links, misbehaving servers and discovery, failing system calls and wrong clocks. Clients,
// servers and discovery record what they observe on one monotonic clock. After the run the recorded
// history is checked rule by rule, from outside the nodes.
//
// All faults are drawn before the run, so that their trace can be written, replayed and shrunk. A
// run that missed a drawn fault or had too few requests is inconclusive and fails.
//
// Play owns all processes and goroutines, which have ended when it returns.
package soak

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/scenario/faultproxy"
	"coralrelay/internal/scenario/testbed"
)

const (
	// warmUp is the time before the first fault, and quietPeriod the time after the last one.
	warmUp, quietPeriod = 3 * time.Second, 5 * time.Second
	// requestsPerNode is the average rate of requests at one node, per second.
	requestsPerNode = 6.0
	// minRequests is the minimum number of requests per second of a run.
	minRequests = 20
)

// Options configure a run.
type Options struct {
	Seed     uint64
	Nodes    int
	Servers  int
	Duration time.Duration
	Overlap  int    // number of faults that overlap
	Crowded  bool   // other callers load the discovery service during the whole run
	Binary   string // path of the node's executable
	Mutation string // empty for none
	LogDir   string // for the trace, logs and history; if empty, a temporary directory that is removed
	Trace    *Trace // trace to replay; nil to draw one
	Progress io.Writer
}

// Mutations are the guards that a run can disable, with what then happens. Each must break a rule
// for some seed.
var Mutations = map[string]string{
	"kept_deadline": "a reused probe connection keeps the deadline of its last probe",
	"probe_conns":   "the number of probe connections is not limited",
	"drain":         "the node is not notified that a server drains",
	"client_left":   "attempts continue for a client that has left",
	"second_answer": "a rejection or failure is written twice",
	"lease":         "the node relies on an unconfirmed list without a time limit",
	"outage":        "an immediate 503 or a reset counts as an unreachable discovery",
	"move":          "clients that have to migrate are cut without MOVE",
	"repeat":        "a request that may have run is repeated whatever its effect",
}

// run is the state of one run.
type run struct {
	Options
	*testbed.Result
	dir       string
	trace     *Trace
	proxy     *faultproxy.Proxy
	discovery *fake.Discovery
	servers   []*server
	nodes     []*node
	history   history
	notified  map[[2]int][]notifiedChange // by node and server; filled by notifiedChanges
	clients   sync.WaitGroup              // the goroutine that starts the clients
	serving   sync.WaitGroup              // the goroutines of the servers
}

// Play runs the soak test once and returns the rules that were broken and the metrics.
func Play(ctx context.Context, options Options) (*testbed.Result, error) {
	if err := testbed.CheckMutation(Mutations, options.Mutation); err != nil {
		return nil, err
	}
	r := &run{Options: options, Result: testbed.NewResult("soak", options.Seed),
		notified: map[[2]int][]notifiedChange{}}
	var remove func()
	var err error
	if r.dir = options.LogDir; r.dir == "" {
		if r.dir, remove, err = testbed.TempDir(); err != nil {
			return nil, err
		}
		defer remove()
	}
	if r.trace = options.Trace; r.trace == nil {
		r.trace = drawTrace(&options)
	}
	if err := r.trace.write(r.dir); err != nil {
		return nil, err
	}
	if err := r.start(ctx); err != nil {
		r.stop()
		return nil, err
	}
	err = r.play(ctx)
	r.stop()
	if err != nil {
		return nil, err
	}
	r.check()
	return r.Result, r.writeHistory()
}

// play starts clients while it plays the trace, then checks that the nodes return to their resource
// levels, and terminates them.
func (r *run) play(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.history.begin()
	clients, stopClients := context.WithCancel(ctx)
	r.clients.Go(func() { r.runClients(clients) })
	defer r.clients.Wait()
	defer stopClients()
	if !fake.Sleep(ctx, warmUp) {
		return ctx.Err()
	}
	r.recordLevels()
	r.playTrace(ctx)
	fake.Sleep(ctx, r.Duration-r.Elapsed()-quietPeriod)
	r.progress("quiet")
	fake.Sleep(ctx, quietPeriod)
	stopClients()
	r.clients.Wait()
	r.checkLevels(ctx)
	r.endNodes(ctx)
	return ctx.Err()
}

// progress prints a progress line with the time of the run.
func (r *run) progress(format string, args ...any) {
	if r.Progress != nil {
		_, _ = fmt.Fprintf(r.Progress, "%6.2f s  %s\n", r.history.now().Seconds(),
			fmt.Sprintf(format, args...))
	}
}

// stop ends all remaining processes, servers and goroutines.
func (r *run) stop() {
	for _, n := range r.nodes {
		n.kill()
	}
	for _, s := range r.servers {
		s.stop()
	}
	r.serving.Wait()
	if r.discovery != nil {
		r.discovery.Close()
	}
	if r.proxy != nil {
		r.proxy.Close()
	}
}
