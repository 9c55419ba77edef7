package listlease

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	ms    = time.Millisecond
	grace = 300 * ms
)

// at is a time of a test, from its begin.
func at(after time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(after) }

// ended is a call that ended a while after its begin.
func ended(begun, took time.Duration, outcome Outcome) Call {
	return Call{BegunAt: at(begun), EndedAt: at(begun + took), Outcome: outcome}
}

// Each outcome of a call after a list that was confirmed at 0, whether or not the service ended a watch at 1 s: when the
// lease ends, and when it ends if a connection has come up since.
func TestEvidenceOfCalls(t *testing.T) {
	const asConfirmed = NotifyDelay
	tests := []struct {
		outcome               Outcome
		took                  time.Duration
		want, wantOnceReached time.Duration
	}{
		{ConnectRefused, ms, 8 * time.Second, 8 * time.Second},
		{ConnectTimedOut, 1100 * ms, 8 * time.Second, asConfirmed},
		{ConnectTimedOut, 5 * ms, asConfirmed, asConfirmed},
		{Unavailable, 5 * ms, asConfirmed, asConfirmed},
		{Unavailable, 999 * ms, asConfirmed, asConfirmed},
		{Unavailable, time.Second, asConfirmed, asConfirmed},
		{Unavailable, 3 * time.Second, asConfirmed, asConfirmed},
		{Reset, 5 * ms, asConfirmed, asConfirmed},
		{Reset, time.Second, asConfirmed, asConfirmed},
		{Unanswered, 7 * time.Second, asConfirmed, asConfirmed},
		{Incomplete, 5 * ms, asConfirmed, asConfirmed},
		{Incomplete, 3 * time.Second, asConfirmed, asConfirmed},
		{Unusable, 5 * ms, asConfirmed, asConfirmed},
		{NotMade, ms, asConfirmed, asConfirmed},
		{Superseded, ms, asConfirmed, asConfirmed},
		{WatchSilent, 2500 * ms, asConfirmed, asConfirmed},
	}
	covered := map[Outcome]bool{WatchEnded: true}
	for _, tt := range tests {
		covered[tt.outcome] = true
		for _, watchEnds := range []bool{false, true} {
			for _, reached := range []bool{false, true} {
				l := New(at(-time.Hour), Terms{DrainGrace: grace}, 1, true)
				l.Confirm(at(0), 2)
				want := tt.want
				if watchEnds {
					l.CallEnded(ended(-time.Hour, time.Hour+time.Second, WatchEnded))
				}
				if reached {
					l.Connected()
					want = tt.wantOnceReached
				}
				l.CallEnded(ended(2*time.Second, tt.took, tt.outcome))
				if got := l.Status().ExpiresAt.Sub(at(0)); got != want {
					t.Errorf("%v after %v, watch ended %v, reached %v: the lease ends at %v, want %v",
						tt.outcome, tt.took, watchEnds, reached, got, want)
				}
			}
		}
	}
	for outcome := range OutcomeCount {
		if !covered[outcome] {
			t.Errorf("no row for %v", outcome)
		}
	}
}

// What else there is: starts, reloads, pushed lists, a grace that covers no hold-up.
func TestLeaseEnds(t *testing.T) {
	for _, tt := range slices.Concat(askedCases, endedWatchCases, pushedCases) {
		l := New(at(0), tt.terms, 1, true)
		tt.play(l)
		status := l.Status()
		if got := status.ExpiresAt.Sub(at(0)); got != tt.want {
			t.Errorf("%s: the lease ends at %v, want %v", tt.name, got, tt.want)
		}
		if !status.IsValid(status.ExpiresAt.Add(-1)) || status.IsValid(status.ExpiresAt) {
			t.Errorf("%s: the list may be relied on until the lease ends, and no longer", tt.name)
		}
	}
	if status := New(at(0), pushed, 0, false).Status(); status.ExpiresAt != at(NotifyDelay) {
		t.Errorf("a start without a list: the lease ends at %v", status.ExpiresAt)
	}
}

// A list that nobody follows may be relied on without end.
func TestZeroStatus(t *testing.T) {
	var status Status
	if !status.IsValid(at(0)) || status.SinceExpiry(at(0)) != 0 || status.Age(at(0)) != NeverConfirmed {
		t.Errorf("%+v", status)
	}
}

// Whatever comes: the lease never outlasts the last moment that anything vouched for by more than NotifyDelay, no
// outcome renews one that has ended, and those that a discovery which can be reached may give never renew it.
func TestLeaseNeverOutlastsItsEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		terms := Terms{DrainGrace: time.Duration(rapid.IntRange(0, 500).Draw(t, "grace")) * ms, Pushed: rapid.Bool().Draw(t, "pushed")}
		l := New(at(0), terms, 1, rapid.Bool().Draw(t, "has list"))
		now, vouched := time.Duration(0), time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * ms
			before := l.Status()
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				l.Confirm(at(now), 2)
				vouched = now
			case 1:
				l.ChangeAddress(at(now))
				if l.Status().ExpiresAt.After(before.ExpiresAt) {
					t.Fatalf("a reload renewed the lease")
				}
			case 2:
				l.Connected()
			default:
				call := ended(now, time.Duration(rapid.IntRange(0, 4000).Draw(t, "took"))*ms,
					Outcome(rapid.IntRange(0, int(OutcomeCount)-1).Draw(t, "outcome")))
				l.CallEnded(call)
				after := l.Status()
				switch call.Outcome {
				case ConnectRefused, ConnectTimedOut:
					if !before.IsValid(call.BegunAt) && after.ExpiresAt.After(before.ExpiresAt) {
						t.Fatalf("%v renewed a lease that had ended", call.Outcome)
					}
					vouched = max(vouched, now) // at the most
				default:
					if after.ExpiresAt.After(before.ExpiresAt) {
						t.Fatalf("%v renewed the lease", call.Outcome)
					}
				}
			}
			if end := l.Status().ExpiresAt; end.After(at(vouched + NotifyDelay)) {
				t.Fatalf("the lease ends at %v; vouched for at %v", end.Sub(at(0)), vouched)
			}
		}
	})
}
