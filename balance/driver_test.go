package balance

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings returns valid settings with one class, "c". Tests adapt them as needed.
func testSettings() Settings {
	return Settings{
		Instances: 1,
		Tick:      ms,
		Classes: []Class{{
			Name:                    "c",
			LatencyObjective:        400 * ms,
			Deadline:                2 * time.Second,
			MessageLatencyObjective: 100 * ms,
		}},
		SubscribeTimeout: 10 * time.Second,
		Rules: Rules{
			AnswerGrace:      5 * ms,
			DrainGrace:       time.Second,
			InitialCapacity:  0.2,
			SlowStartWindow:  20 * time.Second,
			OverloadMultiple: 3,
			OverloadDuration: time.Second,
		},
		Limits: Limits{
			ProbesAllowed: true, SendRetryAfter: true, MaxAttempts: 3, MaxRetryAfter: time.Second},
		LoadReporting: LoadReporting{InProbeResults: true},
	}
}

// driver passes events to one Balancer. It keeps the simulated time and the pending timers.
type driver struct {
	t        *testing.T
	balancer *Balancer
	now      time.Duration
	timers   []pendingTimer
}

// pendingTimer is a timer that has been requested and has not fired.
type pendingTimer struct {
	at    time.Duration
	token uint64
}

// newDriver returns a driver whose Balancer has received a list of the given servers, all ready and warm.
func newDriver(t *testing.T, settings Settings, servers ...string) *driver {
	t.Helper()
	b, err := New(1, settings)
	if err != nil {
		t.Fatal(err)
	}
	d := &driver{t: t, balancer: b, now: time.Second}
	d.updateList(ListCached, readyEntries(servers...)...)
	return d
}

// readyEntries returns list entries of ready and warm servers.
func readyEntries(ids ...string) []ServerEntry {
	entries := make([]ServerEntry, len(ids))
	for i, id := range ids {
		entries[i] = ServerEntry{ID: id}
	}
	return entries
}

// handle passes an event to the Balancer, keeps the timers that it requests and returns the other actions.
func (d *driver) handle(event Event) []Action {
	var others []Action
	for _, a := range d.balancer.Handle(d.now, event, nil) {
		if t, ok := a.(SetTimer); ok {
			d.timers = append(d.timers, pendingTimer{d.now + t.Delay, t.Token})
		} else {
			others = append(others, a)
		}
	}
	return others
}

func (d *driver) updateList(kind ListKind, entries ...ServerEntry) []Action {
	return d.handle(ListUpdate{Kind: kind, Entries: entries})
}

func (d *driver) sendRequest(id string) []Action {
	return d.handle(Request{ID: id, Class: "c", Deadline: d.now + 2*time.Second})
}

// openConnections reports n open connections to a server that the Balancer has not placed.
func (d *driver) openConnections(n int, server string) {
	for i := range n {
		request := Request{ID: fmt.Sprint("o", i), Class: "c"}
		d.handle(OpenConnection{Request: request, Server: server})
	}
}

// endAttempt reports that an attempt of the request "r" has ended without an answer.
func (d *driver) endAttempt(attempt int, server string, outcome Outcome) []Action {
	return d.handle(AttemptEnded{
		ID: "r", Attempt: attempt, Server: server, Outcome: outcome, LoadReport: EmptyLoadReport})
}

// endConnection reports that an established connection has ended.
func (d *driver) endConnection(id, server string, outcome Outcome) []Action {
	return d.handle(AttemptEnded{
		ID: id, Server: server, Outcome: outcome, Final: true, LoadReport: EmptyLoadReport})
}

// answerProbe answers a probe with a load report that contains only a utilization.
func (d *driver) answerProbe(server string, load float64) []Action {
	return d.reportLoad(server, loadReport(load, -1))
}

// reportLoad answers a probe with a load report.
func (d *driver) reportLoad(server string, report LoadReport) []Action {
	return d.handle(ProbeResult{Server: server, Outcome: OK, Latency: ms, LoadReport: report})
}

// answerProbes answers the first probe among the actions, and the probes that result from the answers, with
// the same load. It returns the actions that result from the last answer.
func (d *driver) answerProbes(actions []Action, load float64) []Action {
	return d.answerProbesFunc(actions, func(string) float64 { return load })
}

// answerProbesFunc is like answerProbes, with the load that loadOf returns for the probed server.
func (d *driver) answerProbesFunc(actions []Action, loadOf func(server string) float64) []Action {
	for {
		probes := actionsOf[Probe](actions)
		if len(probes) == 0 {
			return actions
		}
		actions = d.answerProbe(probes[0].Server, loadOf(probes[0].Server))
	}
}

// placeRequest sends a request and answers its probes with the loads of the probed servers. It returns the
// number of probes and the server of the first attempt, or "" if no attempt was made.
func (d *driver) placeRequest(id string, loads map[string]float64) (probeCount int, server string) {
	actions := d.sendRequest(id)
	for {
		if attempts := actionsOf[Attempt](actions); len(attempts) > 0 {
			return probeCount, attempts[0].Server
		}
		probes := actionsOf[Probe](actions)
		if len(probes) == 0 {
			return probeCount, ""
		}
		probeCount++
		actions = d.answerProbe(probes[0].Server, loads[probes[0].Server])
	}
}

// runUntil advances the time, fires the timers that become due in their order, and returns the actions.
func (d *driver) runUntil(until time.Duration) []Action {
	var all []Action
	for {
		earliest := -1
		for i, t := range d.timers {
			if t.at <= until && (earliest < 0 || t.at < d.timers[earliest].at) {
				earliest = i
			}
		}
		if earliest < 0 {
			d.now = until
			return all
		}
		t := d.timers[earliest]
		d.timers = append(d.timers[:earliest], d.timers[earliest+1:]...)
		d.now = max(d.now, t.at)
		all = append(all, d.handle(TimerFired{Token: t.token})...)
	}
}

// runFor advances the time by a duration, like runUntil.
func (d *driver) runFor(duration time.Duration) []Action { return d.runUntil(d.now + duration) }

// actionsOf returns the actions of type T.
func actionsOf[T Action](actions []Action) []T {
	var found []T
	for _, a := range actions {
		if t, ok := a.(T); ok {
			found = append(found, t)
		}
	}
	return found
}

// loadReport returns a report of a utilization and a number of connections. A negative value means that the
// field is not reported.
func loadReport(load, inflight float64) LoadReport {
	report := EmptyLoadReport
	report.Utilization, report.Inflight = load, inflight
	return report
}

// equalLoads returns a map with the same load for each server.
func equalLoads(load float64, servers ...string) map[string]float64 {
	loads := make(map[string]float64, len(servers))
	for _, s := range servers {
		loads[s] = load
	}
	return loads
}
