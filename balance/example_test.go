package balance_test

import (
	"fmt"
	"time"

	"coralrelay/balance"
)

// A balancer that links the library hands it what happens and carries out
// what it answers.
func Example() {
	b, err := balance.New(1, balance.Settings{
		Instances: 1,
		Tick:      time.Millisecond,
		Classes: []balance.Class{{Name: "chat", Aim: 400 * time.Millisecond, Deadline: 2 * time.Second,
			MessageAim: 100 * time.Millisecond}},
		Rules:   balance.Rules{DrainGrace: time.Second, Ramp: 20 * time.Second, ColdShare: 0.2, FallMultiple: 3, FallAfter: time.Second},
		Limits:  balance.Limits{Probes: true, MaxAttempts: 3},
		Reports: balance.Reports{ByProbe: true},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	var actions []balance.Action
	tell := func(now time.Duration, ev balance.Event) {
		actions = b.Handle(now, ev, actions[:0])
		for _, a := range actions {
			switch a := a.(type) {
			case balance.Probe:
				fmt.Println("probe", a.Server)
			case balance.Attempt:
				fmt.Println("connect", a.ID, "to", a.Server)
			}
		}
	}
	report := balance.NoLoad
	report.X0 = 0.1
	tell(0, balance.ListUpdate{Kind: balance.ListFull, Entries: []balance.ServerEntry{{ID: "s1"}}})
	tell(10*time.Millisecond, balance.Request{ID: "c1", Class: "chat", Deadline: 2 * time.Second})
	tell(11*time.Millisecond, balance.ProbeAnswer{Server: "s1", Outcome: balance.OK, Latency: time.Millisecond, Load: report})
	// Output:
	// probe s1
	// connect c1 to s1
}
