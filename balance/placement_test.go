package balance

import (
	"fmt"
	"testing"
	"time"
)

func TestAttemptOutcomes(t *testing.T) {
	const retried, rejected, failed = "retried", "rejected", "failed"
	tests := []struct {
		name        string
		idempotency Idempotency
		scope       KeyScope
		outcome     Outcome
		want        string
	}{
		{"full", Idempotent, ScopeAll, AtCapacity, retried},
		{"connect failed", NonIdempotent, ScopeAll, ConnectFailed, retried},
		{"never sent", IdempotencyKeyed, ScopeCell, NotSent, retried},
		{"error, idempotent", Idempotent, ScopeAll, Errored, retried},
		{"error, keyed for all", IdempotencyKeyed, ScopeAll, Errored, retried},
		{"error, not idempotent", NonIdempotent, ScopeAll, Errored, failed},
		{"reset, idempotent", Idempotent, ScopeAll, Reset, rejected},
		{"reset, keyed for all", IdempotencyKeyed, ScopeAll, Reset, rejected},
		{"reset, keyed for a zone", IdempotencyKeyed, ScopeZone, Reset, failed},
		{"timeout, idempotent", Idempotent, ScopeAll, TimedOut, rejected},
		{"timeout, not idempotent", NonIdempotent, ScopeAll, TimedOut, failed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			settings := testSettings()
			class := &settings.Classes[0]
			class.Idempotency, class.KeyScope, class.KeyWindow = tt.idempotency, tt.scope, time.Second
			d := newDriver(t, settings, "a", "b", "c")
			_, server := d.placeRequest("r", equalLoads(0.1, "a", "b", "c"))
			actions := d.endAttempt(0, server, tt.outcome)
			probes := actionsOf[Probe](actions)
			got := ""
			switch {
			case len(actionsOf[Reject](actions)) == 1:
				got = rejected
			case len(actionsOf[Fail](actions)) == 1:
				got = failed
			case len(probes) == 1 && probes[0].Server != server:
				got = retried
			}
			if got != tt.want {
				t.Errorf("after an attempt at %s: got %v, want %s", server, actions, tt.want)
			}
		})
	}
}

func TestDrainingServerGetsNoAttempt(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b")
	loads := equalLoads(0.1, "a", "b")
	d.openConnections(1, "a")
	probed := actionsOf[Probe](d.sendRequest("r"))[0].Server
	// The server starts to drain while its probe is in flight.
	d.updateList(ListDelta, ServerEntry{ID: probed, State: Draining})
	if got := actionsOf[Attempt](d.answerProbe(probed, 0.1)); len(got) != 0 {
		t.Errorf("request sent to %s, which is draining", got[0].Server)
	}
	for i := range 20 {
		if _, server := d.placeRequest(fmt.Sprint("r", i), loads); server == probed {
			t.Fatalf("request sent to %s, which is draining", server)
		}
	}
	d.updateList(ListFull, ServerEntry{ID: probed}) // the probed server is ready again, the other one is gone
	for i := range 20 {
		if _, server := d.placeRequest(fmt.Sprint("q", i), loads); server != "" && server != probed {
			t.Fatalf("request sent to %s, which the complete list does not contain", server)
		}
	}
}

func TestAttemptsAreLimited(t *testing.T) {
	for maxAttempts := range 4 {
		settings := testSettings()
		settings.Limits.MaxAttempts = maxAttempts // 0 means 1
		d := newDriver(t, settings, "a", "b", "c", "d", "e")
		attempts, actions := 0, d.sendRequest("r")
		for len(actionsOf[Reject](actions)) == 0 && attempts < 9 {
			actions = d.answerProbes(actions, 0.1)
			for _, a := range actionsOf[Attempt](actions) {
				attempts++
				actions = d.endAttempt(attempts-1, a.Server, AtCapacity)
			}
			if len(actions) == 0 {
				actions = d.runFor(100 * ms)
			}
		}
		if want := max(maxAttempts, 1); attempts != want {
			t.Errorf("%d attempts, want %d", attempts, want)
		}
	}
}

// Regression test: a second report of the end of an attempt queued the request for admission twice, so that
// it made two draws at the same time and was sent twice.
func TestDuplicateAttemptEndIsIgnored(t *testing.T) {
	for _, outcome := range []Outcome{AtCapacity, ConnectFailed, Errored, Reset} {
		d := newDriver(t, testSettings(), "a", "b", "c", "d")
		_, server := d.placeRequest("r", equalLoads(0.1, "a", "b", "c", "d"))
		actions := d.endAttempt(0, server, AtCapacity)
		actions = append(actions, d.endAttempt(0, server, outcome)...)
		attempts, answers := 0, len(actionsOf[Reject](actions))
		for _, p := range actionsOf[Probe](actions) {
			attempts += len(actionsOf[Attempt](d.answerProbe(p.Server, 0.1)))
		}
		if attempts != 1 || answers != 0 {
			t.Errorf("%d attempts and %d answers after a duplicate end, want 1 and 0", attempts, answers)
		}
	}
}

// unplaceableCase is a way in which a request becomes unplaceable: no ready server is allowed for it.
type unplaceableCase struct {
	name           string
	changeSettings func(*Settings)          // nil for default settings and one server, else three servers
	trigger        func(d *driver) []Action // returns the actions of the last event
}

func unplaceableCases() []unplaceableCase {
	keyed := func(s *Settings) { s.Classes[0].Idempotency, s.Classes[0].KeyWindow = IdempotencyKeyed, 100*ms }
	onlyServerDrains := func(d *driver) []Action {
		return d.updateList(ListFull, ServerEntry{ID: "a", State: Draining})
	}
	return []unplaceableCase{
		{"no server is ready", nil, func(d *driver) []Action {
			onlyServerDrains(d)
			return d.sendRequest("r")
		}},
		{"the last server drains while it is probed", nil, func(d *driver) []Action {
			d.sendRequest("r")
			return onlyServerDrains(d)
		}},
		{"the last server drains while the request is queued", nil, func(d *driver) []Action {
			d.balancer.reduceWindow()
			d.sendRequest("r")
			return onlyServerDrains(d)
		}},
		{"all servers were tried", func(s *Settings) { s.Limits.MaxAttempts = 9 }, func(d *driver) []Action {
			actions := d.sendRequest("r")
			for i := range 3 {
				actions = d.answerProbes(actions, 0.1)
				for _, a := range actionsOf[Attempt](actions) {
					actions = d.endAttempt(i, a.Server, AtCapacity)
				}
			}
			return actions
		}},
		{"the key window ends while the request is queued", keyed, func(d *driver) []Action {
			d.answerProbes(d.sendRequest("r"), 0.1)
			d.balancer.reduceWindow()
			d.balancer.admission.backoffEndsAt = d.now + time.Second
			d.endAttempt(0, "a", Errored)
			return d.runFor(102 * ms)
		}},
		{"the key window ends while a server is probed", keyed, func(d *driver) []Action {
			d.answerProbes(d.sendRequest("r"), 0.1)
			d.now += 90 * ms
			probes := actionsOf[Probe](d.endAttempt(0, d.balancer.requests.byID["r"].server.ID, Errored))
			d.now += 20 * ms
			return d.answerProbe(probes[0].Server, 0.1)
		}},
	}
}

// Regression test: requests for which no ready server was allowed were held until their deadlines. They must
// be rejected at once.
func TestUnplaceableRequestIsRejectedAtOnce(t *testing.T) {
	for _, tt := range unplaceableCases() {
		t.Run(tt.name, func(t *testing.T) {
			settings := testSettings()
			if tt.changeSettings != nil {
				tt.changeSettings(&settings)
			}
			d := newDriver(t, settings, "a", "b", "c")
			if tt.changeSettings == nil {
				d.updateList(ListFull, readyEntries("a")...)
			}
			got := tt.trigger(d)
			rejected := actionsOf[Reject](got)
			if len(rejected) != 1 || rejected[0].RetryAfter == 0 || len(actionsOf[Attempt](got)) != 0 {
				t.Errorf("got %v, want one rejection with a Retry-After", got)
			}
		})
	}
}

// The key window starts when the first attempt that may have run is sent, because it may have run
// immediately. Regression test: when the window was counted from the latest end of an attempt, a third
// attempt was sent too late.
func TestKeyWindowStartsWithFirstAttempt(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].Idempotency, settings.Classes[0].KeyWindow = IdempotencyKeyed, 100*ms
	d := newDriver(t, settings, "a", "b", "c")
	_, server := d.placeRequest("r", equalLoads(0.1, "a", "b", "c"))
	var got []Action
	for i := range 2 {
		d.now += 60 * ms
		got = d.answerProbes(d.endAttempt(i, server, Errored), 0.1)
		if attempts := actionsOf[Attempt](got); len(attempts) > 0 {
			server = attempts[0].Server
		}
	}
	if len(actionsOf[Reject](got)) != 1 {
		t.Errorf("120 ms after the first attempt: got %v, want a rejection", got)
	}
}

// A client waits no longer than the deadline of its class in total, so the Retry-After must leave it time for
// a retry, whatever the maximum Retry-After in the settings is.
func TestRetryAfterIsWithinDeadline(t *testing.T) {
	settings := testSettings()
	settings.Limits.MaxRetryAfter, settings.Classes[0].Deadline = 10*time.Second, 600*ms
	d := newDriver(t, settings)
	d.updateList(ListFull) // no server, so requests are rejected at once
	for i := range 100 {
		got := actionsOf[Reject](d.sendRequest(fmt.Sprint("r", i)))
		if len(got) != 1 || got[0].RetryAfter <= 0 || got[0].RetryAfter > 300*ms {
			t.Fatalf("got %v, want one rejection with a Retry-After of at most 300 ms", got)
		}
	}
}
