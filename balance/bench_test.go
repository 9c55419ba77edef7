package balance

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPlace measures the handling of one connection from its request to its end. The cost must not grow
// with the number of servers.
func BenchmarkPlace(b *testing.B) {
	for _, servers := range []int{20, 2000} {
		b.Run(fmt.Sprint(servers, "servers"), func(b *testing.B) {
			balancer, err := New(1, testSettings())
			if err != nil {
				b.Fatal(err)
			}
			var ids []string
			for i := range servers {
				ids = append(ids, fmt.Sprint("s", i))
			}
			now, report := time.Second, loadReport(0.1, -1)
			actions := balancer.Handle(0, ListUpdate{Kind: ListFull, Entries: readyEntries(ids...)}, nil)
			handle := func(event Event) { actions = balancer.Handle(now, event, actions[:0]) }
			b.ReportAllocs()
			for b.Loop() {
				now += 10 * ms
				placed := ""
				handle(Request{ID: "r", Class: "c", Deadline: now + time.Second})
				for placed == "" {
					probe := actionsOf[Probe](actions)[0]
					handle(ProbeResult{Server: probe.Server, Outcome: OK, Latency: ms, LoadReport: report})
					if attempts := actionsOf[Attempt](actions); len(attempts) > 0 {
						placed = attempts[0].Server
					}
				}
				handle(ConnectionEstablished{ID: "r", Server: placed})
				handle(AttemptEnded{
					ID: "r", Server: placed, Outcome: OK, Final: true, LoadReport: EmptyLoadReport})
			}
		})
	}
}
