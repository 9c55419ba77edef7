package balance_test

import (
	"fmt"
	"time"

	"coralrelay/balance"
)

// The caller passes every event to the Balancer and carries out the actions that it returns.
func Example() {
	b, err := balance.New(1, balance.Settings{
		Instances: 1,
		Tick:      time.Millisecond,
		Classes: []balance.Class{{
			Name:                    "chat",
			LatencyObjective:        400 * time.Millisecond,
			Deadline:                2 * time.Second,
			MessageLatencyObjective: 100 * time.Millisecond,
		}},
		Rules: balance.Rules{
			DrainGrace:       time.Second,
			SlowStartWindow:  20 * time.Second,
			InitialCapacity:  0.2,
			OverloadMultiple: 3,
			OverloadDuration: time.Second,
		},
		Limits:        balance.Limits{ProbesAllowed: true, MaxAttempts: 3},
		LoadReporting: balance.LoadReporting{InProbeResults: true},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	var actions []balance.Action
	handle := func(now time.Duration, event balance.Event) {
		actions = b.Handle(now, event, actions[:0])
		for _, a := range actions {
			switch a := a.(type) {
			case balance.Probe:
				fmt.Println("probe", a.Server)
			case balance.Attempt:
				fmt.Println("connect", a.ID, "to", a.Server)
			}
		}
	}
	report := balance.EmptyLoadReport
	report.Utilization = 0.1
	handle(0, balance.ListUpdate{Kind: balance.ListFull, Entries: []balance.ServerEntry{{ID: "s1"}}})
	handle(10*time.Millisecond, balance.Request{ID: "c1", Class: "chat", Deadline: 2 * time.Second})
	handle(11*time.Millisecond, balance.ProbeResult{
		Server: "s1", Outcome: balance.OK, Latency: time.Millisecond, LoadReport: report})
	// Output:
	// probe s1
	// connect c1 to s1
}
