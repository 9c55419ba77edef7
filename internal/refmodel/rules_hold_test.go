package refmodel_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"coralrelay/internal/metrics"
)

// The rules hold from the listener to the servers' sockets, for any order of load probes, answers,
// drains, cancellations and connection ends. No goroutine outlives its node, as otherwise the synctest
// bubble would not end.
func TestRulesHoldUnderFaults(t *testing.T) {
	checkRulesHold(t, map[string]faultKind{
		"flapping": flapping, "hanging": hangingConnects, "crowded": fullFleet, "drained": operatorDrains,
		"retuned": settingsChanges, "replaced": hotRestarts, "beside": overlappingProcesses,
	})
}

// A request that may have run is retried only where its idempotency and its retry window allow it, even
// if the window ends between the decision and the send, during a slow connect.
func TestRulesHoldWithLateConnects(t *testing.T) {
	checkRulesHold(t, map[string]faultKind{"late": lateConnects})
}

// The rules hold with watches that fall silent: a change counts as notified at most 6 s after discovery
// had it, whether or not a notification arrived.
func TestRulesHoldWithSilentWatches(t *testing.T) {
	checkRulesHold(t, map[string]faultKind{"silent": silentWatches})
}

// While servers leave and return, no attempt is sent by a list that discovery, although reachable, has not
// confirmed for 6 s.
func TestRulesHoldWithStarvedLists(t *testing.T) {
	checkRulesHold(t, map[string]faultKind{"starved": starvedLists})
}

func checkRulesHold(t *testing.T, kinds map[string]faultKind) {
	for name, kind := range kinds {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint(name, " ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := runSimulation(t, seed, kind)
					for _, violation := range s.checker.Violations {
						t.Error(violation)
					}
					s.checkMetrics()
					s.checkActivity()
				})
			})
		}
	}
}

// checkMetrics compares the node's own metrics with what clients and servers observed.
func (s *simulation) checkMetrics() {
	answerOf := [...]struct{ metric, answer string }{
		{"fulfilled", "served"}, {"throttled", "refused"}, {"faulted", "failed"},
	}
	want := ""
	for _, class := range classes {
		for _, m := range answerOf {
			count := s.answersByClass[class.Name+m.answer]
			want += fmt.Sprintf("balancer.operations.%s.%s:%d|c\r\n", class.Name, m.metric, count)
		}
	}
	want += fmt.Sprintf("balancer.relayed:%d|c\r\n", s.attemptsRead)
	if got := s.metrics.Text(metrics.Gauges{}); !strings.HasPrefix(got, want) {
		s.t.Errorf("metrics:\n%swant:\n%s", got, want)
	}
}

// checkActivity fails the test if too little happened for its result to be meaningful.
func (s *simulation) checkActivity() {
	if s.faults == silentWatches && s.discovery.fullLists < 6 {
		s.t.Errorf("only %d full lists were sent", s.discovery.fullLists)
	}
	if s.faults == starvedLists && s.discovery.starvations < 3 {
		s.t.Errorf("lists were withheld only %d times", s.discovery.starvations)
	}
	if s.answers["served"] < 60 || s.answers["refused"] < 50 {
		s.t.Errorf("too few answers: %v", s.answers)
	}
}
