package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// checkLogs checks that the nodes have logged no violated invariant and no crash.
func (r *run) checkLogs() {
	for _, n := range r.nodes {
		raw, err := os.ReadFile(filepath.Join(n.dir, "log"))
		if err != nil {
			r.AddViolation("log", err.Error())
		}
		for line := range strings.Lines(string(raw)) {
			for _, word := range []string{
				"invariant violated", "panic:", "fatal error:", "DATA RACE", "node failed",
			} {
				if strings.Contains(line, word) {
					r.AddViolation("node", nodeName(n.number)+": "+line)
				}
			}
		}
	}
}

// checkProbeConns checks that load probes reuse connections.
func (r *run) checkProbeConns() {
	probes, conns := 0.0, 0.0
	for _, s := range r.servers {
		probes += float64(s.probes.Load())
		conns += float64(s.probeConns.Load())
	}
	r.Metrics["probes"], r.Metrics["probe_connections"] = probes, conns
	if probes > 1000 && conns > 0.7*probes {
		r.AddViolation("probe connections", fmt.Sprintf("%g connections for %g probes", conns, probes))
	}
}

// checkPlayed checks that all faults were played and that there were enough requests. Otherwise the
// run is inconclusive.
func (r *run) checkPlayed() {
	r.Metrics["requests"], r.Metrics["attempts"] =
		float64(len(r.history.requests)), float64(len(r.history.opened))
	for _, req := range r.history.requests {
		word, _, _ := strings.Cut(req.Answer, " ")
		if word != "" {
			r.Metrics["answer_"+strings.ToLower(word)]++
		}
	}
	for i := range r.trace.Faults {
		r.Metrics["fault_"+string(r.trace.Faults[i].Kind)]++
		if !r.history.played[i] {
			r.AddViolation("void", fmt.Sprintf("fault %d was not played: %+v", i, r.trace.Faults[i]))
		}
	}
	if wanted := minRequests * r.Duration.Seconds(); float64(len(r.history.requests)) < wanted {
		r.AddViolation("void", fmt.Sprintf("%d requests, want at least %g",
			len(r.history.requests), wanted))
	}
}
