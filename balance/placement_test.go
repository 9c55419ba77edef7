package balance

import (
	"fmt"
	"testing"
	"time"
)

func TestAttemptOutcomes(t *testing.T) {
	tests := []struct {
		name   string
		effect Idempotency
		scope  KeyScope
		ended  Outcome
		want   string // "again", "refused", "failed"
	}{
		{"full", Idempotent, ScopeAll, AtCapacity, "again"},
		{"connect failed", NonIdempotent, ScopeAll, ConnectFailed, "again"},
		{"never sent", IdempotencyKeyed, ScopeCell, NotSent, "again"},
		{"error, safe", Idempotent, ScopeAll, Errored, "again"},
		{"error, keyed for all", IdempotencyKeyed, ScopeAll, Errored, "again"},
		{"error, unsafe", NonIdempotent, ScopeAll, Errored, "failed"},
		{"reset, safe", Idempotent, ScopeAll, Reset, "refused"},
		{"reset, keyed for all", IdempotencyKeyed, ScopeAll, Reset, "refused"},
		{"reset, keyed for a zone", IdempotencyKeyed, ScopeZone, Reset, "failed"},
		{"time-out, safe", Idempotent, ScopeAll, TimedOut, "refused"},
		{"time-out, unsafe", NonIdempotent, ScopeAll, TimedOut, "failed"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			set := testSettings()
			set.Classes[0].Idempotency, set.Classes[0].KeyScope, set.Classes[0].KeyWindow = tt.effect, tt.scope, time.Second
			d := newDriver(t, set, "a", "b", "c")
			loads := map[string]float64{"a": 0.1, "b": 0.1, "c": 0.1}
			_, at := placeRequest(d, "r", loads)
			got := d.handle(AttemptEnded{ID: "r", Server: at, Outcome: tt.ended, LoadReport: EmptyLoadReport})
			switch {
			case len(actionsOf[Reject](got)) == 1:
				if tt.want != "refused" {
					t.Errorf("refused, want %s", tt.want)
				}
			case len(actionsOf[Fail](got)) == 1:
				if tt.want != "failed" {
					t.Errorf("failed, want %s", tt.want)
				}
			case len(actionsOf[Probe](got)) == 1:
				if p := actionsOf[Probe](got)[0]; tt.want != "again" || p.Server == at {
					t.Errorf("drew %s after %s, want %s", p.Server, at, tt.want)
				}
			default:
				t.Errorf("got %v, want %s", got, tt.want)
			}
		})
	}
}

func TestDrainingServerGetsNoAttempt(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b")
	d.handle(OpenConnection{Request: Request{ID: "o", Class: "c"}, Server: "a"})
	actions := d.sendRequest("r")
	asked := actionsOf[Probe](actions)[0].Server
	// the server drains while its answer is on the way
	d.updateList(ListDelta, ServerEntry{ID: asked, State: Draining})
	if got := actionsOf[Attempt](d.answerProbe(asked, 0.1)); len(got) != 0 {
		t.Errorf("sent to %s, which drains", got[0].Server)
	}
	for i := range 20 {
		if _, at := placeRequest(d, fmt.Sprint("r", i), map[string]float64{"a": 0.1, "b": 0.1}); at == asked {
			t.Fatalf("sent to %s, which drains", at)
		}
	}
	d.updateList(ListFull, ServerEntry{ID: asked}) // ready again, the other one not named: gone
	for i := range 20 {
		if _, at := placeRequest(d, fmt.Sprint("q", i), map[string]float64{"a": 0.1, "b": 0.1}); at != "" && at != asked {
			t.Fatalf("sent to %s, which the whole list no longer names", at)
		}
	}
}

func TestAttemptsAreLimited(t *testing.T) {
	for most := range 4 {
		set := testSettings()
		set.Limits.MaxAttempts = most // 0 means 1
		d := newDriver(t, set, "a", "b", "c", "d", "e")
		attempts, actions := 0, d.sendRequest("r")
		for len(actionsOf[Reject](actions)) == 0 && attempts < 9 {
			for len(actionsOf[Probe](actions)) > 0 {
				actions = d.answerProbe(actionsOf[Probe](actions)[0].Server, 0.1)
			}
			for _, a := range actionsOf[Attempt](actions) {
				attempts++
				actions = d.handle(AttemptEnded{ID: "r", Attempt: attempts - 1, Server: a.Server, Outcome: AtCapacity, LoadReport: EmptyLoadReport})
			}
			if len(actions) == 0 {
				actions = d.runUntil(d.now + 100*ms)
			}
		}
		if want := max(most, 1); attempts != want {
			t.Errorf("%d attempts where %d are allowed", attempts, want)
		}
	}
}

// A second end of one attempt had the request wait twice for its turn: it drew twice
// at once, and was sent twice.
func TestDuplicateAttemptEndIsIgnored(t *testing.T) {
	for _, o := range []Outcome{AtCapacity, ConnectFailed, Errored, Reset} {
		d := newDriver(t, testSettings(), "a", "b", "c", "d")
		_, at := placeRequest(d, "r", map[string]float64{"a": 0.1, "b": 0.1, "c": 0.1, "d": 0.1})
		end := AttemptEnded{ID: "r", Server: at, Outcome: AtCapacity, LoadReport: EmptyLoadReport}
		actions := d.handle(end)
		end.Outcome = o
		actions = append(actions, d.handle(end)...)
		sent, answers := 0, len(actionsOf[Reject](actions))
		for _, p := range actionsOf[Probe](actions) {
			sent += len(actionsOf[Attempt](d.answerProbe(p.Server, 0.1)))
		}
		if sent != 1 || answers != 0 {
			t.Errorf("%d more attempts and %d answers after a second end, want 1 and 0", sent, answers)
		}
	}
}

// To give up is to answer now. Requests that no ready server may be sent waited for
// their deadline all the same.
func TestUnplaceableRequestIsRejectedAtOnce(t *testing.T) {
	keyed := func(s *Settings) { s.Classes[0].Idempotency, s.Classes[0].KeyWindow = IdempotencyKeyed, 100*ms }
	tests := []struct {
		name string
		set  func(*Settings)
		play func(d *driver) []Action
	}{
		{"nobody is ready", nil, func(d *driver) []Action {
			d.updateList(ListFull, ServerEntry{ID: "a", State: Draining})
			return d.sendRequest("r")
		}},
		{"the last one leaves while it is probed", nil, func(d *driver) []Action {
			d.sendRequest("r")
			return d.updateList(ListFull, ServerEntry{ID: "a", State: Draining})
		}},
		{"the last one leaves while it waits", nil, func(d *driver) []Action {
			d.balancer.reduceWindow()
			d.sendRequest("r")
			return d.updateList(ListFull, ServerEntry{ID: "a", State: Draining})
		}},
		{"all were tried", func(s *Settings) { s.Limits.MaxAttempts = 9 }, func(d *driver) []Action {
			actions := d.sendRequest("r")
			for i := range 3 {
				for len(actionsOf[Probe](actions)) > 0 {
					actions = d.answerProbe(actionsOf[Probe](actions)[0].Server, 0.1)
				}
				for _, a := range actionsOf[Attempt](actions) {
					actions = d.handle(AttemptEnded{ID: "r", Attempt: i, Server: a.Server, Outcome: AtCapacity, LoadReport: EmptyLoadReport})
				}
			}
			return actions
		}},
		{"its repeats' window ends while it waits", keyed, func(d *driver) []Action {
			d.answerProbe(actionsOf[Probe](d.sendRequest("r"))[0].Server, 0.1)
			d.balancer.reduceWindow()
			d.balancer.admission.backoffEndsAt = d.now + time.Second
			d.handle(AttemptEnded{ID: "r", Server: "a", Outcome: Errored, LoadReport: EmptyLoadReport})
			return d.runUntil(d.now + 102*ms)
		}},
		{"its repeats' window ends while it is probed", keyed, func(d *driver) []Action {
			d.answerProbe(actionsOf[Probe](d.sendRequest("r"))[0].Server, 0.1)
			d.now += 90 * ms
			asked := actionsOf[Probe](d.handle(AttemptEnded{ID: "r", Server: d.balancer.requests.byID["r"].server.ID, Outcome: Errored, LoadReport: EmptyLoadReport}))
			d.now += 20 * ms
			return d.answerProbe(asked[0].Server, 0.1)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			set := testSettings()
			if tt.set != nil {
				tt.set(&set)
			}
			d := newDriver(t, set, "a", "b", "c")
			if tt.set == nil {
				d.updateList(ListFull, readyEntries("a")...)
			}
			got := tt.play(d)
			if refused := actionsOf[Reject](got); len(refused) != 1 || refused[0].RetryAfter == 0 || len(actionsOf[Attempt](got)) != 0 {
				t.Errorf("got %v, want one refusal that says when to return", got)
			}
		})
	}
}

// How long repeats are dropped counts from the first attempt that may have run, and
// that may have been at once. Counted from the latest end, a third came too late.
func TestKeyWindowCountsFromFirstAttempt(t *testing.T) {
	set := testSettings()
	set.Classes[0].Idempotency, set.Classes[0].KeyWindow = IdempotencyKeyed, 100*ms
	d := newDriver(t, set, "a", "b", "c")
	loads := map[string]float64{"a": 0.1, "b": 0.1, "c": 0.1}
	_, at := placeRequest(d, "r", loads)
	var got []Action
	for i := range 2 {
		d.now += 60 * ms
		got = d.handle(AttemptEnded{ID: "r", Attempt: i, Server: at, Outcome: Errored, LoadReport: EmptyLoadReport})
		for len(actionsOf[Probe](got)) > 0 {
			got = d.answerProbe(actionsOf[Probe](got)[0].Server, 0.1)
		}
		if sent := actionsOf[Attempt](got); len(sent) > 0 {
			at = sent[0].Server
		}
	}
	if len(actionsOf[Reject](got)) != 1 {
		t.Errorf("120 ms after it may first have run: %v, want a refusal", got)
	}
}

// A client waits no longer than its class's deadline in all: the pause that it is asked for
// leaves it time to come again, whatever the greatest pause of the deployment is.
func TestRetryAfterIsWithinDeadline(t *testing.T) {
	set := testSettings()
	set.Limits.MaxRetryAfter, set.Classes[0].Deadline = 10*time.Second, 600*ms
	d := newDriver(t, set)
	d.updateList(ListFull) // nobody to go to: refused at once
	for i := range 100 {
		got := actionsOf[Reject](d.sendRequest(fmt.Sprint("r", i)))
		if len(got) != 1 || got[0].RetryAfter <= 0 || got[0].RetryAfter > 300*ms {
			t.Fatalf("refused with %v", got)
		}
	}
}
