package agent

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/fleet/replog"
)

// play runs a script for so long: members report at 25 ms after each tenth of a second, the
// node at 50 ms, and operators ask at 75 ms. Of the node's exchange those lines are written
// that change its limits of traffic into zones.
func (w *testFleet) play(t *testing.T, ctx context.Context, end time.Duration, script map[time.Duration]func()) {
	const pause = 25 * time.Millisecond
	done := w.run(ctx)
	lastZones := ""
	for seq := range int(end / evaluationInterval) {
		at := time.Duration(seq) * evaluationInterval
		if event := script[at]; event != nil {
			event()
		}
		time.Sleep(pause)
		w.receiveReports(seq + 1)
		time.Sleep(pause)
		response, reportLine, responseLine := w.pollAgent(t, agentapi.Report{QuotaUsage: w.quotaUsage()})
		w.halfEpoch = response.Period
		if zones, err := json.Marshal(response.Zones); err != nil || string(zones) != lastZones {
			if seq > 0 {
				reportLine = "..."
			}
			w.writeTranscript("node", "%s", reportLine)
			w.writeTranscript("agent", "%s", responseLine)
			lastZones = string(zones)
		}
		time.Sleep(pause)
		if event := script[at+operatorOffset]; event != nil {
			event()
		}
		time.Sleep(pause)
	}
	<-done
}

// operatorOffset is when operators ask, after each evaluation interval of a script.
const operatorOffset = 75 * time.Millisecond

// A zone fails, is evacuated by the replicated log and recovers; meanwhile the log is out of
// contact for a while, and operators ask.
func TestZoneEvacuationAndRecoveryTranscript(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const end = 9 * time.Second
		ctx, cancel := context.WithTimeout(t.Context(), end-10*time.Millisecond)
		defer cancel()
		w := newTestFleet(t, ctx)
		operator := func(line string) func() {
			return func() {
				w.writeTranscript("operator", "%s", line)
				w.askAsOperator(t, line)
			}
		}
		setContact := func(inContact bool) func() {
			return func() {
				w.writeTranscript("record", "%s", map[bool]string{true: "is heard", false: "is not heard any more"}[inContact])
				w.log.change(func(v *replog.View) {
					v.WithinLease = inContact
					if inContact {
						v.ConfirmedAt = time.Now()
					}
				})
			}
		}
		setFailures := func(share float64) func() {
			return func() {
				w.writeTranscript("zone c", "%.0f %% of all attempts fail", 100*share)
				w.failureShare["c"] = share
			}
		}
		const settingsEntry = `{"kind":"settings","by":"","at":0,"body":{}}`
		const zonesEntry = `{"kind":"zones","by":"","at":0,"body":{"base":7,"set":[],"zones":["a"]}}`
		w.play(t, ctx, end, map[time.Duration]func(){
			0:                                      setContact(true),
			500 * time.Millisecond:                 setFailures(1),
			time.Second + operatorOffset:           operator(`{"ask":"explain"}`),
			1100*time.Millisecond + operatorOffset: operator(`{"ask":"check","entry":` + settingsEntry + `}`),
			1200*time.Millisecond + operatorOffset: operator(`{"ask":"propose","entry":` + zonesEntry + `}`),
			1300*time.Millisecond + operatorOffset: operator(`{"ask":"propose","entry":{"knid":"zones"}}`),
			1400*time.Millisecond + operatorOffset: operator(`{"ask":`),
			1800*time.Millisecond + operatorOffset: operator(`{"ask":"state"}`),
			2 * time.Second:                        setContact(false),
			2500 * time.Millisecond:                setFailures(0),
			3 * time.Second:                        setContact(true),
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
		zones := w.log.View().State.Zones
		if w.log.maxPending != 1 || len(zones.TrafficLimits("a")) != 1 || w.log.pending != 0 {
			t.Errorf("%d proposals at once, then %+v", w.log.maxPending, zones)
		}
	})
}
