package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults.
const (
	nodeTerm         Kind = "node_term"         // planned restart
	nodeSignals      Kind = "node_signals"      // planned restart with repeated SIGHUP and SIGTERM
	nodeKill         Kind = "node_kill"         // killed, then started again
	nodeHangUp       Kind = "node_hang_up"      // reload with another discovery address
	nodeHangUps      Kind = "node_hang_ups"     // ten reloads in a row
	nodeStop         Kind = "node_stop"         // paused for 0.05 to 0.15 s
	nodeHotRestart   Kind = "node_hot_restart"  // another process takes over
	nodeDescriptors  Kind = "node_descriptors"  // the descriptor limit is reached
	nodeWallClock    Kind = "node_wall_clock"   // restart with a wrong wall clock
	nodeSystemCalls  Kind = "node_system_calls" // accept or connect fails
	nodeShortIO      Kind = "node_short_io"     // each read and write transfers one byte
	discoverySilent  Kind = "discovery_silent"  // the link to discovery is cut
	discoverySlow    Kind = "discovery_slow"
	discoveryRefuses Kind = "discovery_refuses"
	discoveryBreaks  Kind = "discovery_breaks"  // answers are reset in the middle
	discoveryDown    Kind = "discovery_down"    // no listener for any node; watches have ended
	discoveryStarves Kind = "discovery_starves" // no call returns a list for several seconds
	discoveryCrowded Kind = "discovery_crowded" // other callers load discovery; only with Options.Crowded
	linkCut          Kind = "link_cut"          // between nodes and servers
	linkOneWay       Kind = "link_one_way"
	linkResets       Kind = "link_resets" // reset at the n-th byte
	linkPieces       Kind = "link_pieces" // byte by byte, also between clients and nodes
	linkLate         Kind = "link_late"
	serverHangs      Kind = "server_hangs"
	serverDrains     Kind = "server_drains"
	serverLeaves     Kind = "server_leaves" // leaves the list but goes on serving; back within seconds
	serverDies       Kind = "server_dies"   // dies, and comes back cold
	serverClosesIdle Kind = "server_closes_idle"
	serverForgets    Kind = "server_forgets" // idle connections get no answers
	serverSpoils     Kind = "server_spoils"  // corrupts replies
	serverDoubles    Kind = "server_doubles" // duplicates replies
	serverBusy       Kind = "server_busy"
	clientsHalfLine  Kind = "clients_half_line"
	clientsLeave     Kind = "clients_leave"
	clientsPipeline  Kind = "clients_pipeline"
	clientsFlood     Kind = "clients_flood"
	clientsRest      Kind = "clients_rest"
	clientsShort     Kind = "clients_short" // patience of 1 to 30 ms
	clientsIdle      Kind = "clients_idle"  // many clients that connect and send nothing
)

var allKinds = []Kind{
	nodeTerm, nodeSignals, nodeKill, nodeHangUp, nodeHangUps, nodeStop, nodeHotRestart, nodeDescriptors,
	nodeWallClock, nodeSystemCalls, nodeShortIO, discoverySilent, discoverySlow, discoveryRefuses,
	discoveryBreaks, discoveryDown, discoveryStarves, discoveryStarves, // long faults are listed twice
	linkCut, linkOneWay,
	linkResets, linkPieces, linkLate, serverHangs, serverDrains, serverLeaves, serverLeaves,
	serverDies, serverClosesIdle, serverForgets,
	serverSpoils, serverDoubles, serverBusy, clientsHalfLine, clientsLeave, clientsPipeline,
	clientsFlood, clientsRest, clientsShort,
	clientsIdle,
}

// Fault is one fault of a trace.
type Fault struct {
	Kind    Kind  `json:"kind"`
	BeginMs int64 `json:"begin_ms"` // since the start of the run
	EndMs   int64 `json:"end_ms"`
	Nodes   []int `json:"nodes,omitempty"`
	Servers []int `json:"servers,omitempty"`
	Value   int   `json:"value,omitempty"` // random parameter whose meaning depends on the kind
}

// overlaps reports whether the fault is active within a span extended by allowance on either side.
func (f *Fault) overlaps(from, to, allowance time.Duration) bool {
	begin, end := time.Duration(f.BeginMs)*time.Millisecond, time.Duration(f.EndMs)*time.Millisecond
	return from <= end+allowance && to >= begin-allowance
}

// span returns the period in which the fault is active.
func (f *Fault) span() span {
	return span{time.Duration(f.BeginMs) * time.Millisecond, time.Duration(f.EndMs) * time.Millisecond}
}

// Trace is the list of faults of a run.
type Trace struct {
	Seed   uint64  `json:"seed"`
	Faults []Fault `json:"faults"`
}

// minFaultSpan and maxFaultSpan limit the duration of usual faults.
const minFaultSpan, maxFaultSpan = 400 * time.Millisecond, 4 * time.Second

// minNoListSpan and maxNoListSpan limit the time without a list, which is longer than notifyDelay.
const minNoListSpan, maxNoListSpan = 7 * time.Second, 12 * time.Second

// drawTrace draws a trace: groups of Options.Overlap faults that start within a second of one
// another, until quietPeriod.
func drawTrace(options *Options) *Trace {
	rng := rand.New(rand.NewPCG(options.Seed, 21))
	trace := &Trace{Seed: options.Seed}
	for at := warmUp; at < options.Duration-quietPeriod-maxFaultSpan; at += time.Second +
		randomSpan(rng, 2*time.Second) {
		for range options.Overlap {
			trace.Faults = append(trace.Faults, drawFault(rng, options, at+randomSpan(rng, time.Second)))
		}
	}
	trace.Faults = append(trace.Faults, triggerFaults(options)...)
	if options.Crowded {
		trace.Faults = append(trace.Faults, wholeRunFault(options, discoveryCrowded))
	}
	return trace
}

// mutationTriggers are the faults that make a mutation break a rule within a short run.
var mutationTriggers = map[string][]Kind{
	"client_left":   {clientsLeave, linkLate},
	"drain":         {serverDrains},
	"second_answer": {serverBusy},
	"repeat":        {serverSpoils},
	"lease":         {discoveryStarves, serverLeaves},
	"outage":        {discoveryStarves, serverLeaves}, // needs Options.Crowded as well
}

// triggerFaults returns the faults that trigger the run's mutation, at all nodes and every other
// server. Without a mutation there are none.
func triggerFaults(options *Options) (faults []Fault) {
	for _, kind := range mutationTriggers[options.Mutation] {
		faults = append(faults, wholeRunFault(options, kind))
	}
	return faults
}

// wholeRunFault returns a fault at all nodes and every other server that lasts from the end of
// warmUp to quietPeriod.
func wholeRunFault(options *Options, kind Kind) Fault {
	fault := Fault{Kind: kind, BeginMs: warmUp.Milliseconds(),
		EndMs: (options.Duration - quietPeriod).Milliseconds()}
	for number := range options.Nodes {
		fault.Nodes = append(fault.Nodes, number)
	}
	for number := 0; number < options.Servers; number += 2 {
		fault.Servers = append(fault.Servers, number)
	}
	return fault
}

func randomSpan(rng *rand.Rand, longest time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(longest)))
}

// drawFault draws one fault that starts at a time.
func drawFault(rng *rand.Rand, options *Options, at time.Duration) Fault {
	fault := Fault{
		Kind:    allKinds[rng.IntN(len(allKinds))],
		BeginMs: at.Milliseconds(),
		EndMs:   (at + minFaultSpan + randomSpan(rng, maxFaultSpan-minFaultSpan)).Milliseconds(),
		Nodes:   drawNumbers(rng, options.Nodes, 4),
		Servers: drawNumbers(rng, options.Servers, 5),
		Value:   rng.IntN(1000),
	}
	switch fault.Kind {
	case nodeStop:
		fault.EndMs = fault.BeginMs + 50 + int64(rng.IntN(100))
	case discoverySilent, discoverySlow, discoveryRefuses, discoveryBreaks:
		fault.Nodes = drawNumbers(rng, options.Nodes, 1)
	case discoveryStarves: // may last into the first half of quietPeriod
		fault.Nodes = drawNumbers(rng, options.Nodes, 1)
		fault.EndMs = min(
			fault.BeginMs+(minNoListSpan+randomSpan(rng, maxNoListSpan-minNoListSpan)).Milliseconds(),
			(options.Duration - quietPeriod/2).Milliseconds())
	}
	return fault
}

// drawNumbers draws numbers below n: at least one, and at most n/part.
func drawNumbers(rng *rand.Rand, n, part int) []int {
	return rng.Perm(n)[:1+rng.IntN(max(1, n/part))]
}

// write writes the trace into a directory.
func (t *Trace) write(dir string) error {
	raw, err := json.MarshalIndent(t, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "trace.json"), append(raw, '\n'), 0o644)
}

// ReadTrace reads a trace from a file.
func ReadTrace(path string) (*Trace, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	trace := &Trace{}
	if err := json.Unmarshal(raw, trace); err != nil {
		return nil, fmt.Errorf("parse trace %s: %w", path, err)
	}
	return trace, nil
}
