package refmodel_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"coralrelay/internal/metrics"
)

// The rules hold from the listener to the servers' sockets, whatever the order of probes,
// answers, drains, cancellations and ends. That the bubble ends shows that no goroutine of the
// node outlives it.
func TestRulesHoldUnderFaults(t *testing.T) {
	checkRulesHold(t, map[string]faultKind{
		"flapping": flapping, "hanging": hangingConnects, "crowded": fullFleet, "drained": operatorDrains,
		"retuned": settingsChanges, "replaced": hotRestarts, "beside": overlappingProcesses,
	})
}

// A request that may have run is retried only where its idempotency and its retry window allow,
// also where the window ends between the decision and the send: while a slow connect is made.
func TestRulesHoldWithLateConnects(t *testing.T) {
	checkRulesHold(t, map[string]faultKind{"late": lateConnects})
}

// A change counts as notified at most 6 s after discovery had it, whether or not a notification
// arrived.
func TestRulesHoldWithSilentWatches(t *testing.T) {
	checkRulesHold(t, map[string]faultKind{"silent": silentWatches})
}

// Nothing is sent by a list that discovery, which can be reached, has not confirmed for 6 s, while servers leave
// and return.
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

// checkMetrics compares the node's own metrics with what clients and servers saw.
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

// checkActivity fails the test where too little happened for it to mean anything.
func (s *simulation) checkActivity() {
	if s.faults == silentWatches && s.discovery.fullLists < 6 {
		s.t.Errorf("only %d full lists were sent", s.discovery.fullLists)
	}
	if s.faults == starvedLists && s.discovery.starvations < 3 {
		s.t.Errorf("lists failed to come only %d times", s.discovery.starvations)
	}
	if s.answers["served"] < 60 || s.answers["refused"] < 50 {
		s.t.Errorf("only these answers were given: %v", s.answers)
	}
}
