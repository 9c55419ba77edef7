package balance

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings returns settings that tests change to their need.
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
		Limits:        Limits{ProbesAllowed: true, SendRetryAfter: true, MaxAttempts: 3, MaxRetryAfter: time.Second},
		LoadReporting: LoadReporting{InProbeResults: true},
	}
}

// driver drives one Balancer: it keeps the clock and the pending timers.
type driver struct {
	t        *testing.T
	balancer *Balancer
	now      time.Duration
	timers   []pendingTimer
}

type pendingTimer struct {
	at    time.Duration
	token uint64
}

// newDriver returns a driver whose instance knows the given servers, all ready and warm.
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

func readyEntries(ids ...string) []ServerEntry {
	list := make([]ServerEntry, len(ids))
	for i, id := range ids {
		list[i] = ServerEntry{ID: id}
	}
	return list
}

// handle hands over an event and returns the actions except timers.
func (d *driver) handle(event Event) []Action {
	var rest []Action
	for _, a := range d.balancer.Handle(d.now, event, nil) {
		if t, ok := a.(SetTimer); ok {
			d.timers = append(d.timers, pendingTimer{d.now + t.Delay, t.Token})
		} else {
			rest = append(rest, a)
		}
	}
	return rest
}

func (d *driver) updateList(kind ListKind, list ...ServerEntry) []Action {
	return d.handle(ListUpdate{Kind: kind, Entries: list})
}

func (d *driver) sendRequest(id string) []Action {
	return d.handle(Request{ID: id, Class: "c", Deadline: d.now + 2*time.Second})
}

// openConnections tells the instance of n connections that already stand at a server.
func (d *driver) openConnections(n int, server string) {
	for i := range n {
		request := Request{ID: fmt.Sprint("o", i), Class: "c"}
		d.handle(OpenConnection{Request: request, Server: server})
	}
}

// endAttempt ends an attempt of request r without an answer.
func (d *driver) endAttempt(attempt int, server string, outcome Outcome) []Action {
	return d.handle(AttemptEnded{
		ID: "r", Attempt: attempt, Server: server, Outcome: outcome, LoadReport: EmptyLoadReport})
}

// endConnection ends an established connection.
func (d *driver) endConnection(id, server string, outcome Outcome) []Action {
	return d.handle(AttemptEnded{ID: id, Server: server, Outcome: outcome, Final: true, LoadReport: EmptyLoadReport})
}

// answerProbe answers a probe with a load and nothing else.
func (d *driver) answerProbe(server string, load float64) []Action {
	return d.reportLoad(server, loadReport(load, -1))
}

// reportLoad answers a probe with a load report.
func (d *driver) reportLoad(server string, report LoadReport) []Action {
	return d.handle(ProbeResult{Server: server, Outcome: OK, Latency: ms, LoadReport: report})
}

// answerProbes answers the probe among the actions, and those that follow, all with one load,
// and returns the actions that follow the last.
func (d *driver) answerProbes(actions []Action, load float64) []Action {
	return d.answerProbesBy(actions, func(string) float64 { return load })
}

// answerProbesBy is as answerProbes, with a load for each server.
func (d *driver) answerProbesBy(actions []Action, loadOf func(server string) float64) []Action {
	for {
		probes := actionsOf[Probe](actions)
		if len(probes) == 0 {
			return actions
		}
		actions = d.answerProbe(probes[0].Server, loadOf(probes[0].Server))
	}
}

// placeRequest lets a request draw with every probe answered by loads, and returns how many
// probes it took and where the request went; "" if it was not placed.
func (d *driver) placeRequest(id string, loads map[string]float64) (probes int, server string) {
	actions := d.sendRequest(id)
	for {
		if attempts := actionsOf[Attempt](actions); len(attempts) > 0 {
			return probes, attempts[0].Server
		}
		sent := actionsOf[Probe](actions)
		if len(sent) == 0 {
			return probes, ""
		}
		probes++
		actions = d.answerProbe(sent[0].Server, loads[sent[0].Server])
	}
}

// runUntil lets time pass, firing timers in order, and returns the actions.
func (d *driver) runUntil(until time.Duration) []Action {
	var all []Action
	for {
		first := -1
		for i, t := range d.timers {
			if t.at <= until && (first < 0 || t.at < d.timers[first].at) {
				first = i
			}
		}
		if first < 0 {
			d.now = until
			return all
		}
		t := d.timers[first]
		d.timers = append(d.timers[:first], d.timers[first+1:]...)
		d.now = max(d.now, t.at)
		all = append(all, d.handle(TimerFired{Token: t.token})...)
	}
}

// runFor is runUntil for a span of time.
func (d *driver) runFor(span time.Duration) []Action { return d.runUntil(d.now + span) }

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

// loadReport returns a report of a load and a number of connections; negative for no number.
func loadReport(load, inflight float64) LoadReport {
	report := EmptyLoadReport
	report.Utilization, report.Inflight = load, inflight
	return report
}

// equalLoads returns the same load for each server.
func equalLoads(load float64, servers ...string) map[string]float64 {
	loads := make(map[string]float64, len(servers))
	for _, s := range servers {
		loads[s] = load
	}
	return loads
}
