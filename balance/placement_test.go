package balance

import (
	"fmt"
	"testing"
	"time"
)

func TestAfterAnAttempt(t *testing.T) {
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
			set := settings()
			set.Classes[0].Idempotency, set.Classes[0].KeyScope, set.Classes[0].KeyWindow = tt.effect, tt.scope, time.Second
			d := newBench(t, set, "a", "b", "c")
			loads := map[string]float64{"a": 0.1, "b": 0.1, "c": 0.1}
			_, at := drawsUntilPlaced(d, "r", loads)
			got := d.tell(AttemptEnded{ID: "r", Server: at, Outcome: tt.ended, LoadReport: EmptyLoadReport})
			switch {
			case len(pick[Reject](got)) == 1:
				if tt.want != "refused" {
					t.Errorf("refused, want %s", tt.want)
				}
			case len(pick[Fail](got)) == 1:
				if tt.want != "failed" {
					t.Errorf("failed, want %s", tt.want)
				}
			case len(pick[Probe](got)) == 1:
				if p := pick[Probe](got)[0]; tt.want != "again" || p.Server == at {
					t.Errorf("drew %s after %s, want %s", p.Server, at, tt.want)
				}
			default:
				t.Errorf("got %v, want %s", got, tt.want)
			}
		})
	}
}

func TestNothingToDrainingServers(t *testing.T) {
	d := newBench(t, settings(), "a", "b")
	d.tell(OpenConnection{Request: Request{ID: "o", Class: "c"}, Server: "a"})
	actions := d.request("r")
	asked := pick[Probe](actions)[0].Server
	// the server drains while its answer is on the way
	d.list(ListDelta, ServerEntry{ID: asked, State: Draining})
	if got := pick[Attempt](d.answer(asked, 0.1)); len(got) != 0 {
		t.Errorf("sent to %s, which drains", got[0].Server)
	}
	for i := range 20 {
		if _, at := drawsUntilPlaced(d, fmt.Sprint("r", i), map[string]float64{"a": 0.1, "b": 0.1}); at == asked {
			t.Fatalf("sent to %s, which drains", at)
		}
	}
	d.list(ListFull, ServerEntry{ID: asked}) // ready again, the other one not named: gone
	for i := range 20 {
		if _, at := drawsUntilPlaced(d, fmt.Sprint("q", i), map[string]float64{"a": 0.1, "b": 0.1}); at != "" && at != asked {
			t.Fatalf("sent to %s, which the whole list no longer names", at)
		}
	}
}

func TestAttemptsAreCapped(t *testing.T) {
	for most := range 4 {
		set := settings()
		set.Limits.MaxAttempts = most // 0 means 1
		d := newBench(t, set, "a", "b", "c", "d", "e")
		attempts, actions := 0, d.request("r")
		for len(pick[Reject](actions)) == 0 && attempts < 9 {
			for len(pick[Probe](actions)) > 0 {
				actions = d.answer(pick[Probe](actions)[0].Server, 0.1)
			}
			for _, a := range pick[Attempt](actions) {
				attempts++
				actions = d.tell(AttemptEnded{ID: "r", Attempt: attempts - 1, Server: a.Server, Outcome: AtCapacity, LoadReport: EmptyLoadReport})
			}
			if len(actions) == 0 {
				actions = d.run(d.now + 100*ms)
			}
		}
		if want := max(most, 1); attempts != want {
			t.Errorf("%d attempts where %d are allowed", attempts, want)
		}
	}
}

// A second end of one attempt had the request wait twice for its turn: it drew twice
// at once, and was sent twice.
func TestSecondEndChangesNothing(t *testing.T) {
	for _, o := range []Outcome{AtCapacity, ConnectFailed, Errored, Reset} {
		d := newBench(t, settings(), "a", "b", "c", "d")
		_, at := drawsUntilPlaced(d, "r", map[string]float64{"a": 0.1, "b": 0.1, "c": 0.1, "d": 0.1})
		end := AttemptEnded{ID: "r", Server: at, Outcome: AtCapacity, LoadReport: EmptyLoadReport}
		actions := d.tell(end)
		end.Outcome = o
		actions = append(actions, d.tell(end)...)
		sent, answers := 0, len(pick[Reject](actions))
		for _, p := range pick[Probe](actions) {
			sent += len(pick[Attempt](d.answer(p.Server, 0.1)))
		}
		if sent != 1 || answers != 0 {
			t.Errorf("%d more attempts and %d answers after a second end, want 1 and 0", sent, answers)
		}
	}
}

// To give up is to answer now. Requests that no ready server may be sent waited for
// their deadline all the same.
func TestGivenUpIsAnsweredAtOnce(t *testing.T) {
	keyed := func(s *Settings) { s.Classes[0].Idempotency, s.Classes[0].KeyWindow = IdempotencyKeyed, 100*ms }
	tests := []struct {
		name string
		set  func(*Settings)
		play func(d *bench) []Action
	}{
		{"nobody is ready", nil, func(d *bench) []Action {
			d.list(ListFull, ServerEntry{ID: "a", State: Draining})
			return d.request("r")
		}},
		{"the last one leaves while it is probed", nil, func(d *bench) []Action {
			d.request("r")
			return d.list(ListFull, ServerEntry{ID: "a", State: Draining})
		}},
		{"the last one leaves while it waits", nil, func(d *bench) []Action {
			d.b.reduceWindow()
			d.request("r")
			return d.list(ListFull, ServerEntry{ID: "a", State: Draining})
		}},
		{"all were tried", func(s *Settings) { s.Limits.MaxAttempts = 9 }, func(d *bench) []Action {
			actions := d.request("r")
			for i := range 3 {
				for len(pick[Probe](actions)) > 0 {
					actions = d.answer(pick[Probe](actions)[0].Server, 0.1)
				}
				for _, a := range pick[Attempt](actions) {
					actions = d.tell(AttemptEnded{ID: "r", Attempt: i, Server: a.Server, Outcome: AtCapacity, LoadReport: EmptyLoadReport})
				}
			}
			return actions
		}},
		{"its repeats' window ends while it waits", keyed, func(d *bench) []Action {
			d.answer(pick[Probe](d.request("r"))[0].Server, 0.1)
			d.b.reduceWindow()
			d.b.backoffEndsAt = d.now + time.Second
			d.tell(AttemptEnded{ID: "r", Server: "a", Outcome: Errored, LoadReport: EmptyLoadReport})
			return d.run(d.now + 102*ms)
		}},
		{"its repeats' window ends while it is probed", keyed, func(d *bench) []Action {
			d.answer(pick[Probe](d.request("r"))[0].Server, 0.1)
			d.now += 90 * ms
			asked := pick[Probe](d.tell(AttemptEnded{ID: "r", Server: d.b.requests["r"].server.ID, Outcome: Errored, LoadReport: EmptyLoadReport}))
			d.now += 20 * ms
			return d.answer(asked[0].Server, 0.1)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			set := settings()
			if tt.set != nil {
				tt.set(&set)
			}
			d := newBench(t, set, "a", "b", "c")
			if tt.set == nil {
				d.list(ListFull, entries("a")...)
			}
			got := tt.play(d)
			if refused := pick[Reject](got); len(refused) != 1 || refused[0].RetryAfter == 0 || len(pick[Attempt](got)) != 0 {
				t.Errorf("got %v, want one refusal that says when to return", got)
			}
		})
	}
}

// How long repeats are dropped counts from the first attempt that may have run, and
// that may have been at once. Counted from the latest end, a third came too late.
func TestRepeatsCountFromTheFirst(t *testing.T) {
	set := settings()
	set.Classes[0].Idempotency, set.Classes[0].KeyWindow = IdempotencyKeyed, 100*ms
	d := newBench(t, set, "a", "b", "c")
	loads := map[string]float64{"a": 0.1, "b": 0.1, "c": 0.1}
	_, at := drawsUntilPlaced(d, "r", loads)
	var got []Action
	for i := range 2 {
		d.now += 60 * ms
		got = d.tell(AttemptEnded{ID: "r", Attempt: i, Server: at, Outcome: Errored, LoadReport: EmptyLoadReport})
		for len(pick[Probe](got)) > 0 {
			got = d.answer(pick[Probe](got)[0].Server, 0.1)
		}
		if sent := pick[Attempt](got); len(sent) > 0 {
			at = sent[0].Server
		}
	}
	if len(pick[Reject](got)) != 1 {
		t.Errorf("120 ms after it may first have run: %v, want a refusal", got)
	}
}

// A client waits no longer than its class's deadline in all: the pause that it is asked for
// leaves it time to come again, whatever the greatest pause of the deployment is.
func TestPauseLeavesTime(t *testing.T) {
	set := settings()
	set.Limits.MaxRetryAfter, set.Classes[0].Deadline = 10*time.Second, 600*ms
	d := newBench(t, set)
	d.list(ListFull) // nobody to go to: refused at once
	for i := range 100 {
		got := pick[Reject](d.request(fmt.Sprint("r", i)))
		if len(got) != 1 || got[0].RetryAfter <= 0 || got[0].RetryAfter > 300*ms {
			t.Fatalf("refused with %v", got)
		}
	}
}
