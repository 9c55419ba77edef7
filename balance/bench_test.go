package balance

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPlace takes a connection from its arrival to its end. Its cost must
// not grow with the fleet.
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
			actions := b.Handle(0, ListUpdate{Kind: ListFull, Entries: readyEntries(ids...)}, nil)
			now, load := time.Second, EmptyLoadReport
			load.Utilization = 0.1
			bm.ReportAllocs()
			for bm.Loop() {
				now += 10 * ms
				placed := ""
				actions = b.Handle(now, Request{ID: "r", Class: "c", Deadline: now + time.Second}, actions[:0])
				for placed == "" {
					probe := actionsOf[Probe](actions)[0]
					actions = b.Handle(now, ProbeResult{Server: probe.Server, Outcome: OK, Latency: ms, LoadReport: load}, actions[:0])
					if sent := actionsOf[Attempt](actions); len(sent) > 0 {
						placed = sent[0].Server
					}
				}
				b.Handle(now, ConnectionEstablished{ID: "r", Server: placed}, actions[:0])
				b.Handle(now, AttemptEnded{ID: "r", Server: placed, Outcome: OK, Final: true, LoadReport: EmptyLoadReport}, actions[:0])
			}
		})
	}
}
