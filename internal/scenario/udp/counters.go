package udp

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"strings"
)

const (
	// countersMessage is the message that the node logs on exit, with its counters as attributes.
	countersMessage = "udp ended"
	// minArrivedShare is the minimum share of the datagrams that must arrive at servers.
	minArrivedShare = 0.9
	// minReclaimedShare is the minimum share of the opened flows that the node must have removed
	// after all flows have become idle.
	minReclaimedShare = 0.95
	// maxSilentShare limits the load of a server that answers nothing, relative to an even share.
	maxSilentShare = 0.5
	// minFlowsForAllFaults is the number of flows from which on a run must include every kind of
	// fault.
	minFlowsForAllFaults = 100_000
)

// counters are the node's counters by name.
type counters map[string]float64

// readCounters reads the counters from the log of a node that has exited.
func readCounters(logFile string) (counters, error) {
	file, err := os.Open(logFile)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	found := counters{}
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if _, text, ok := strings.Cut(lines.Text(), countersMessage); ok {
			_ = json.Unmarshal([]byte(strings.TrimSpace(text)), &found)
		}
	}
	if len(found) == 0 {
		return nil, fmt.Errorf("no counters found in node log %s", logFile)
	}
	return found, nil
}

// checkCounters checks that the node's counters are consistent and, unless the run was a flood, that
// they and the servers' observations meet the limits for short flows.
func (r *run) checkCounters(logFile string) error {
	nodeCounters, err := readCounters(logFile)
	if err != nil {
		return err
	}
	for name, count := range nodeCounters {
		r.SetMetric("node: "+name, count)
	}
	dropped := nodeCounters["full"] + nodeCounters["limited"] + nodeCounters["queue"] +
		nodeCounters["refused"] + nodeCounters["unsent"] + nodeCounters["gone"]
	if out := nodeCounters["forwarded"] + dropped + nodeCounters["waiting"]; nodeCounters["in"] != out {
		r.AddViolation("counts", fmt.Sprintf("%g datagrams in, %g forwarded, dropped or waiting",
			nodeCounters["in"], out))
	}
	if removed := nodeCounters["expired"] + nodeCounters["evicted"] +
		nodeCounters["refused"]; removed < minReclaimedShare*nodeCounters["opened"] {
		r.AddViolation("reclaimed", fmt.Sprintf("%g flows were opened, %g removed after all had become idle",
			nodeCounters["opened"], removed))
	}
	if !r.Flood {
		r.checkShortFlows()
	}
	return nil
}

// checkShortFlows checks the share of the short flows' datagrams that arrived, the load of hung
// servers, and that the run included the faults that it checks.
func (r *run) checkShortFlows() {
	sent := max(1, r.Metric("sent"))
	arrived := r.Metric("arrived") / sent
	r.SetMetric("share answered", r.Metric("answered")/sent)
	r.SetMetric("share arrived", arrived)
	if arrived < minArrivedShare {
		r.AddViolation("bound", fmt.Sprintf("%.3f of the datagrams arrived, want at least %g",
			arrived, minArrivedShare))
	}
	if all := r.Metric("while one was silent"); all > 0 {
		share := r.Metric("to the silent one") / all * float64(r.Servers) // 1 is an even share
		r.SetMetric("silent server's part of its share", share)
		if share > maxSilentShare {
			r.AddViolation("silence", fmt.Sprintf("a server that answered nothing got %.2f of an even share",
				share))
		}
	}
	r.RequireAtLeast("drains", 1)
	r.RequireAtLeast("node: expired", 1)
	if r.Flows >= minFlowsForAllFaults {
		r.RequireAtLeast("servers killed", 1)
		r.RequireAtLeast("while one was silent", 1)
	}
}
