package udp

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"strings"
)

const (
	// countersMessage is the log line at a node's end whose attributes are its counters.
	countersMessage = "udp ended"
	// minArrivedShare is the part of the datagrams that has to arrive at servers.
	minArrivedShare = 0.9
	// minReclaimedShare is the part of the flows that the node has to forget once all are silent.
	minReclaimedShare = 0.95
	// maxSilentShare is what a server that answers nothing may get of its share.
	maxSilentShare = 0.5
	// minFlowsForAllFaults is the size of a run that has to see every kind of fault.
	minFlowsForAllFaults = 100_000
)

// counters are the node's own, by name.
type counters map[string]float64

// readCounters reads the counters from the log of a node that has ended.
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
		return nil, fmt.Errorf("the node told no counts: %s", logFile)
	}
	return found, nil
}

// checkCounters holds the node's counters to one another and to what the servers got.
func (r *run) checkCounters(logFile string) error {
	node, err := readCounters(logFile)
	if err != nil {
		return err
	}
	for name, count := range node {
		r.SetMetric("node: "+name, count)
	}
	dropped := node["full"] + node["limited"] + node["queue"] + node["refused"] + node["unsent"] + node["gone"]
	if out := node["forwarded"] + dropped + node["waiting"]; node["in"] != out {
		r.AddViolation("counts", fmt.Sprintf("%g in, %g forwarded, dropped or waiting", node["in"], out))
	}
	if forgotten := node["expired"] + node["evicted"] + node["refused"]; forgotten < minReclaimedShare*node["opened"] {
		r.AddViolation("reclaimed", fmt.Sprintf("%g flows were opened, %g forgotten, all being silent",
			node["opened"], forgotten))
	}
	if !r.Flood {
		r.checkShortFlows()
	}
	return nil
}

// checkShortFlows checks what arrived of the short flows, and that the run provoked what it
// checks.
func (r *run) checkShortFlows() {
	sent := max(1, r.Metric("sent"))
	arrived := r.Metric("arrived") / sent
	r.SetMetric("share answered", r.Metric("answered")/sent)
	r.SetMetric("share arrived", arrived)
	if arrived < minArrivedShare {
		r.AddViolation("bound", fmt.Sprintf("%.3f of the datagrams arrived, %g is wanted", arrived, minArrivedShare))
	}
	if all := r.Metric("while one was silent"); all > 0 {
		share := r.Metric("to the silent one") / all * float64(r.Servers) // 1 is what it would get if it were like the others
		r.SetMetric("silent server's part of its share", share)
		if share > maxSilentShare {
			r.AddViolation("silence", fmt.Sprintf("a server that answered nothing got %.2f of its share", share))
		}
	}
	r.RequireAtLeast("drains", 1)
	r.RequireAtLeast("node: expired", 1)
	if r.Flows >= minFlowsForAllFaults {
		r.RequireAtLeast("servers killed", 1)
		r.RequireAtLeast("while one was silent", 1)
	}
}
