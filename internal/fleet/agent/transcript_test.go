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

// runScript runs the agent and the events of script, by their time since the start, until end. In each
// evaluation interval the other members report after 25 ms, the node after 50 ms, and operators send
// their requests after 75 ms. The transcript contains a report of the node and its response only if the
// response changes the zones' traffic limits.
func (f *testFleet) runScript(t *testing.T, ctx context.Context, end time.Duration, script map[time.Duration]func()) {
	const pause = 25 * time.Millisecond
	done := f.run(ctx)
	lastZones := ""
	for seq := range int(end / evaluationInterval) {
		at := time.Duration(seq) * evaluationInterval
		if event := script[at]; event != nil {
			event()
		}
		time.Sleep(pause)
		f.receiveReports(seq + 1)
		time.Sleep(pause)
		response, reportLine, responseLine := f.pollAgent(t, agentapi.Report{QuotaUsage: f.quotaUsage()})
		f.halfEpoch = response.Period
		if zones, err := json.Marshal(response.Zones); err != nil || string(zones) != lastZones {
			if seq > 0 {
				reportLine = "..."
			}
			f.writeTranscript("node", "%s", reportLine)
			f.writeTranscript("agent", "%s", responseLine)
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

// operatorOffset is the time from the start of an evaluation interval to the operators' requests in it.
const operatorOffset = 75 * time.Millisecond

// A zone fails, is evacuated by the replicated log and recovers. During this time the log is out of
// contact for a while, and operators send requests.
func TestZoneEvacuationAndRecoveryTranscript(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const end = 9 * time.Second
		ctx, cancel := context.WithTimeout(t.Context(), end-10*time.Millisecond)
		defer cancel()
		fleet := newTestFleet(t, ctx)
		operator := func(line string) func() {
			return func() {
				fleet.writeTranscript("operator", "%s", line)
				fleet.askAsOperator(t, line)
			}
		}
		setContact := func(inContact bool) func() {
			return func() {
				fleet.writeTranscript("record", "%s", map[bool]string{true: "is heard", false: "is not heard any more"}[inContact])
				fleet.log.change(func(v *replog.View) {
					v.WithinLease = inContact
					if inContact {
						v.ConfirmedAt = time.Now()
					}
				})
			}
		}
		setFailures := func(share float64) func() {
			return func() {
				fleet.writeTranscript("zone c", "%.0f %% of all attempts fail", 100*share)
				fleet.failureShare["c"] = share
			}
		}
		const settingsEntry = `{"kind":"settings","by":"","at":0,"body":{}}`
		const zonesEntry = `{"kind":"zones","by":"","at":0,"body":{"base":7,"set":[],"zones":["a"]}}`
		fleet.runScript(t, ctx, end, map[time.Duration]func(){
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
		goldie.New(t).Assert(t, "exchange", fleet.transcript.Bytes())
	})
}

// While a proposal stays undecided, no other one is made, and the agent still responds to its node.
func TestOneProposalAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const end = 6 * time.Second
		ctx, cancel := context.WithTimeout(t.Context(), end-10*time.Millisecond)
		defer cancel()
		fleet := newTestFleet(t, ctx)
		fleet.log.change(func(v *replog.View) { v.WithinLease = true })
		fleet.log.blocked = true
		fleet.failureShare["c"] = 1
		fleet.runScript(t, ctx, end, map[time.Duration]func(){4 * time.Second: func() { fleet.log.blocked = false }})
		zones := fleet.log.View().State.Zones
		if fleet.log.maxPending != 1 || len(zones.TrafficLimits("a")) != 1 || fleet.log.pending != 0 {
			t.Errorf("%d concurrent proposals, then zone statuses %+v", fleet.log.maxPending, zones)
		}
	})
}
