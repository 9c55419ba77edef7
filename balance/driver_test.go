package balance

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// settings returns settings that tests change to their need.
func testSettings() Settings {
	return Settings{
		Instances:        1,
		Tick:             ms,
		Classes:          []Class{{Name: "c", LatencyObjective: 400 * ms, Deadline: 2 * time.Second, MessageLatencyObjective: 100 * ms}},
		SubscribeTimeout: 10 * time.Second,
		Rules: Rules{AnswerGrace: 5 * ms, DrainGrace: time.Second, InitialCapacity: 0.2, SlowStartWindow: 20 * time.Second,
			OverloadMultiple: 3, OverloadDuration: time.Second},
		Limits:        Limits{ProbesAllowed: true, SendRetryAfter: true, MaxAttempts: 3, MaxRetryAfter: time.Second},
		LoadReporting: LoadReporting{InProbeResults: true},
	}
}

// bench drives one Balancer: it keeps the clock and the pending timers.
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

func newDriver(t *testing.T, set Settings, servers ...string) *driver {
	t.Helper()
	b, err := New(1, set)
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

// tell hands over an event and returns the actions but for timers.
func (d *driver) handle(ev Event) []Action {
	var rest []Action
	for _, a := range d.balancer.Handle(d.now, ev, nil) {
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

func (d *driver) answerProbe(server string, x0 float64) []Action {
	l := EmptyLoadReport
	l.Utilization = x0
	return d.handle(ProbeResult{Server: server, Outcome: OK, Latency: ms, LoadReport: l})
}

// run lets time pass, firing timers in order, and returns the actions.
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

// pick returns the actions of type T.
func actionsOf[T Action](actions []Action) []T {
	var found []T
	for _, a := range actions {
		if t, ok := a.(T); ok {
			found = append(found, t)
		}
	}
	return found
}

// drawsUntilPlaced lets a request draw with every probe answered by loads, and
// returns how many probes it took and where the request went.
func placeRequest(d *driver, id string, loads map[string]float64) (int, string) {
	actions, probes := d.sendRequest(id), 0
	for {
		if sent := actionsOf[Attempt](actions); len(sent) > 0 {
			return probes, sent[0].Server
		}
		asked := actionsOf[Probe](actions)
		if len(asked) == 0 {
			return probes, ""
		}
		probes++
		actions = d.answerProbe(asked[0].Server, loads[asked[0].Server])
	}
}

func loadReport(x0, inflight float64) LoadReport {
	l := EmptyLoadReport
	l.Utilization, l.Inflight = x0, inflight
	return l
}
