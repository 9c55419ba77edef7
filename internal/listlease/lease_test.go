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

// at returns the time that is the given duration after the start of a test.
func at(after time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(after) }

// ended returns a call that began at a time after the start of the test and took a duration.
func ended(begun, took time.Duration, outcome Outcome) Call {
	return Call{BegunAt: at(begun), EndedAt: at(begun + took), Outcome: outcome}
}

// The list is confirmed at 0 s, and a call ends with each of the outcomes. The table holds the end of the
// lease without and with a connection that was established in between. Whether the service ended a watch
// at 1 s makes no difference.
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
					t.Errorf("%v after %v, watch ended %v, connected %v: the lease ends at %v, want %v",
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

// The end of the lease after starts, reloads and ended watches, with pushed lists, and with a drain grace
// that does not cover MaxProcessPause.
func TestLeaseEnds(t *testing.T) {
	for _, tt := range slices.Concat(requestedCases, endedWatchCases, pushedCases) {
		l := New(at(0), tt.terms, 1, true)
		tt.apply(l)
		status := l.Status()
		if got := status.ExpiresAt.Sub(at(0)); got != tt.want {
			t.Errorf("%s: the lease ends at %v, want %v", tt.name, got, tt.want)
		}
		if !status.IsValid(status.ExpiresAt.Add(-1)) || status.IsValid(status.ExpiresAt) {
			t.Errorf("%s: the list must be valid until the lease ends, and not afterwards", tt.name)
		}
	}
	if status := New(at(0), pushed, 0, false).Status(); status.ExpiresAt != at(NotifyDelay) {
		t.Errorf("start without a list: the lease ends at %v", status.ExpiresAt)
	}
}

// A list without a lease never expires.
func TestZeroStatus(t *testing.T) {
	var status Status
	if !status.IsValid(at(0)) || status.SinceExpiry(at(0)) != 0 || status.Age(at(0)) != NeverConfirmed {
		t.Errorf("%+v", status)
	}
}

// For any sequence of events: the lease ends at most NotifyDelay after the latest evidence for the list, no
// outcome renews a lease that has ended, and an outcome that is possible with a reachable discovery
// service never renews it.
func TestLeaseNeverOutlastsItsEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		terms := Terms{DrainGrace: time.Duration(rapid.IntRange(0, 500).Draw(t, "grace")) * ms, Pushed: rapid.Bool().Draw(t, "pushed")}
		l := New(at(0), terms, 1, rapid.Bool().Draw(t, "has list"))
		now, evidence := time.Duration(0), time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * ms
			before := l.Status()
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				l.Confirm(at(now), 2)
				evidence = now
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
					evidence = max(evidence, now) // at the latest
				default:
					if after.ExpiresAt.After(before.ExpiresAt) {
						t.Fatalf("%v renewed the lease", call.Outcome)
					}
				}
			}
			if end := l.Status().ExpiresAt; end.After(at(evidence + NotifyDelay)) {
				t.Fatalf("the lease ends at %v; latest evidence at %v", end.Sub(at(0)), evidence)
			}
		}
	})
}
