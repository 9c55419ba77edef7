package balance

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPlace takes a connection from its arrival to its end. Its cost must not grow with the
// fleet.
func BenchmarkPlace(bm *testing.B) {
	for _, servers := range []int{20, 2000} {
		bm.Run(fmt.Sprint(servers, "servers"), func(bm *testing.B) {
			b, err := New(1, testSettings())
			if err != nil {
				bm.Fatal(err)
			}
			var ids []string
			for i := range servers {
				ids = append(ids, fmt.Sprint("s", i))
			}
			now, report := time.Second, loadReport(0.1, -1)
			actions := b.Handle(0, ListUpdate{Kind: ListFull, Entries: readyEntries(ids...)}, nil)
			handle := func(event Event) { actions = b.Handle(now, event, actions[:0]) }
			bm.ReportAllocs()
			for bm.Loop() {
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
				handle(AttemptEnded{ID: "r", Server: placed, Outcome: OK, Final: true, LoadReport: EmptyLoadReport})
			}
		})
	}
}
