package quota

import (
	"fmt"
	"time"
)

var cfg = Config{
	Epoch:              1500 * time.Millisecond,
	LeaseTimeout:       30 * time.Second,
	ReportTTL:          3 * time.Second,
	RetryRatio:         0.2,
	MaxOutlierFraction: 0.25,
}

var warmingEndpoint = Endpoint{ID: "s", StartedAt: 7}

const startTime = 1_000_000 * 1500 * time.Millisecond // beginning of an epoch

// testFleet is a fleet of members, each with its own state.
type testFleet struct {
	names  []string
	states []*State
	seq    uint64
	now    time.Duration
}

func newTestFleet(members int) *testFleet {
	fleet := &testFleet{now: startTime}
	for i := range members {
		fleet.names = append(fleet.names, fmt.Sprint("n", i))
	}
	for _, name := range fleet.names {
		state := NewState(name, cfg)
		for _, other := range fleet.names {
			state.SetMemberStatus(fleet.now, other, Alive)
		}
		fleet.states = append(fleet.states, state)
	}
	return fleet
}

// report merges a new report of member i into its own state, and returns the report for the others.
func (f *testFleet) report(i int, period int64, usages ...Usage) Report {
	f.seq++
	report := Report{
		Member:      f.names[i],
		Incarnation: 1,
		Seq:         f.seq,
		ReportedAt:  f.now,
		Period:      period,
		Usages:      usages,
	}
	f.states[i].Merge(report)
	return report
}

// reportToAll delivers a new report of member i to all members.
func (f *testFleet) reportToAll(i int, usage Usage) {
	report := f.report(i, 0, usage)
	for _, state := range f.states {
		state.Merge(report)
	}
}

// warmingUsage returns a usage of warmingEndpoint with the given demand.
func warmingUsage(demand float64) Usage {
	return Usage{Endpoint: warmingEndpoint, WarmingUp: true, Demand: demand}
}
