package agent

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/fleet/replog"
)

// play runs a script for so long: members speak at 25 ms after each tenth of a second, the
// node asks at 50 ms, and operators at 75 ms. Of the node's exchange those lines are written
// whose word on zones is news.
func (w *testFleet) play(t *testing.T, ctx context.Context, end time.Duration, script map[time.Duration]func()) {
	done := make(chan struct{})
	go func() { defer close(done); w.agent.Run(ctx) }()
	last := ""
	for seq := range int(end / evaluationInterval) {
		if do := script[time.Duration(seq)*evaluationInterval]; do != nil {
			do()
		}
		time.Sleep(25 * time.Millisecond)
		w.receiveReports(seq + 1)
		time.Sleep(25 * time.Millisecond)
		line, err := json.Marshal(agentapi.Report{QuotaUsage: w.quotaUsage()})
		if err != nil {
			t.Fatal(err)
		}
		answer, err := w.nodeClient.request(string(line))
		if err != nil {
			t.Fatal(err)
		}
		var response agentapi.Response
		if err := json.Unmarshal([]byte(answer), &response); err != nil {
			t.Fatal(err)
		}
		w.halfEpoch = response.Period
		if now, err := json.Marshal(response.Zones); err != nil || string(now) != last {
			if w.writeTranscript("node", "%s", line); seq > 0 {
				w.transcript.Truncate(w.transcript.Len() - len(line) - 1)
				w.transcript.WriteString("...\n")
			}
			w.writeTranscript("agent", "%s", strings.TrimSpace(answer))
			last = string(now)
		}
		time.Sleep(25 * time.Millisecond)
		if do := script[time.Duration(seq)*evaluationInterval+75*time.Millisecond]; do != nil {
			do()
		}
		time.Sleep(25 * time.Millisecond)
	}
	<-done
}

// A zone fails, is left by the record's word and is returned to; meanwhile the record is
// not heard for a while, and operators ask.
func TestZoneEvacuationAndRecoveryTranscript(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const end = 9 * time.Second
		ctx, cancel := context.WithTimeout(t.Context(), end-10*time.Millisecond)
		defer cancel()
		w := newTestFleet(t, ctx)
		operator := func(line string) func() {
			return func() {
				w.writeTranscript("operator", "%s", line)
				c := newAPIClient(w.dial())
				answer, err := c.request(line)
				if err != nil {
					t.Error(err)
				}
				w.writeTranscript("agent", "%s", strings.TrimSpace(answer))
				_ = c.conn.Close()
			}
		}
		hears := func(fresh bool) func() {
			return func() {
				w.writeTranscript("record", "%s", map[bool]string{true: "is heard", false: "is not heard any more"}[fresh])
				w.log.change(func(v *replog.View) {
					if v.WithinLease = fresh; fresh {
						v.ConfirmedAt = time.Now()
					}
				})
			}
		}
		fails := func(share float64) func() {
			return func() {
				w.writeTranscript("zone c", "%.0f %% of all attempts fail", 100*share)
				w.failureShare["c"] = share
			}
		}
		const late = 75 * time.Millisecond
		w.play(t, ctx, end, map[time.Duration]func(){
			0:                            hears(true),
			500 * time.Millisecond:       fails(1),
			1800*time.Millisecond + late: operator(`{"ask":"state"}`),
			2 * time.Second:              hears(false),
			2500 * time.Millisecond:      fails(0),
			3 * time.Second:              hears(true),
			time.Second + late:           operator(`{"ask":"explain"}`),
			1100*time.Millisecond + late: operator(`{"ask":"check","entry":{"kind":"settings","by":"","at":0,"body":{}}}`),
			1200*time.Millisecond + late: operator(`{"ask":"propose","entry":{"kind":"zones","by":"","at":0,"body":{"base":7,"set":[],"zones":["a"]}}}`),
			1300*time.Millisecond + late: operator(`{"ask":"propose","entry":{"knid":"zones"}}`),
			1400*time.Millisecond + late: operator(`{"ask":`),
		})
		goldie.New(t).Assert(t, "exchange", w.transcript.Bytes())
	})
}

// A proposal that is not decided is the only one under way, and holds up nothing.
func TestOneProposalAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const end = 6 * time.Second
		ctx, cancel := context.WithTimeout(t.Context(), end-10*time.Millisecond)
		defer cancel()
		w := newTestFleet(t, ctx)
		w.log.change(func(v *replog.View) { v.WithinLease = true })
		w.log.blocked = true
		w.failureShare["c"] = 1
		w.play(t, ctx, end, map[time.Duration]func(){4 * time.Second: func() { w.log.blocked = false }})
		if s := w.log.View().State; w.log.maxPending != 1 || len(s.Zones.TrafficLimits("a")) != 1 || w.log.pending != 0 {
			t.Errorf("%d proposals at once, then %+v", w.log.maxPending, s.Zones)
		}
	})
}
