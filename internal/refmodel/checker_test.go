package refmodel

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// Each rule's break is caught, and what only comes near one is not.
func TestCheckerReportsViolations(t *testing.T) {
	terms := Rules{MaxAttempts: 2, DrainGrace: 300 * ms, NotifyDelay: 6 * time.Second, SlowStartDuration: 10 * time.Second, SlowStartShare: 0.2, ServerRate: 10, OverloadMultiple: 3,
		OverloadWindow: time.Second, PromptLimit: ms}
	anyZone := Retries{}
	tests := []struct {
		name string
		play func(b *Checker)
		want string // how the lines in Broken begin; empty if there are none
	}{
		{"served", func(b *Checker) {
			b.AttemptSent(0, "r", "a")
			b.RequestAnswered(ms, "r", Served)
			b.CheckDeadlines(time.Hour)
		}, ""},
		{"answered twice", func(b *Checker) { b.RequestAnswered(ms, "r", Refused); b.RequestAnswered(ms, "r", Refused) }, "rule 1"},
		{"never answered", func(b *Checker) { b.CheckDeadlines(1001 * ms) }, "rule 1"},
		{"answered at the last moment", func(b *Checker) { b.RequestAnswered(time.Second, "r", Failed); b.CheckDeadlines(time.Hour) }, ""},
		{"served by nobody", func(b *Checker) { b.RequestAnswered(ms, "r", Served) }, "rule 1"},
		{"answered unasked", func(b *Checker) { b.RequestAnswered(ms, "q", Failed); b.ClientLeft(ms, "r") }, "rule 1"},
		{"refused as harmless", func(b *Checker) {
			b.RequestArrived(0, "u", time.Second, Retries{Forbidden: true})
			b.AttemptSent(0, "u", "a")
			b.AttemptEnded(0, "u", MayRun)
			b.RequestAnswered(0, "u", Refused)
		}, "rule 1"},
		{"answered as its client left", func(b *Checker) { b.ClientLeft(ms, "r"); b.RequestAnswered(ms, "r", Refused) }, ""},
		{"answered after its client left", func(b *Checker) { b.ClientLeft(ms, "r"); b.RequestAnswered(2*ms, "r", Refused) }, "rule 1"},
		{"left", func(b *Checker) { b.ClientLeft(ms, "r"); b.CheckDeadlines(time.Hour) }, ""},
		{"two at once", func(b *Checker) { b.AttemptSent(0, "r", "a"); b.AttemptSent(ms, "r", "b") }, "rule 2"},
		{"answered while out", func(b *Checker) { b.AttemptSent(0, "r", "a"); b.RequestAnswered(ms, "r", Refused) }, "rule 2"},
		{"sent after its answer", func(b *Checker) { b.RequestAnswered(0, "r", Failed); b.AttemptSent(ms, "r", "a") }, "rule 2"},
		{"sent as its client left", func(b *Checker) { b.ClientLeft(ms, "r"); b.AttemptSent(ms, "r", "a") }, ""},
		{"sent after its client left", func(b *Checker) { b.ClientLeft(ms, "r"); b.AttemptSent(2*ms, "r", "a") }, "rule 2"},
		{"sent just after its client left", func(b *Checker) {
			b.terms.ClientGoneGrace = 100 * ms
			b.ClientLeft(ms, "r")
			b.AttemptSent(101*ms, "r", "a")
		}, ""},
		{"sent late after its client left", func(b *Checker) {
			b.terms.ClientGoneGrace = 100 * ms
			b.ClientLeft(ms, "r")
			b.AttemptSent(102*ms, "r", "a")
		}, "rule 2"},
		{"sent again after its client left", func(b *Checker) {
			b.terms.ClientGoneGrace = 100 * ms
			b.AttemptSent(0, "r", "a")
			b.ClientLeft(ms, "r")
			b.AttemptEnded(50*ms, "r", NotRun)
			b.AttemptSent(102*ms, "r", "b")
		}, "rule 2"},
		{"two at once as its client left", func(b *Checker) { b.AttemptSent(0, "r", "a"); b.ClientLeft(ms, "r"); b.AttemptSent(ms, "r", "b") }, "rule 2"},
		{"one after the other", func(b *Checker) {
			b.AttemptSent(0, "r", "a")
			b.AttemptEnded(ms, "r", NotRun)
			b.AttemptSent(ms, "r", "b")
		}, ""},
		{"too often", func(b *Checker) {
			for _, s := range []string{"a", "b", "a"} {
				b.AttemptSent(0, "r", s)
				b.AttemptEnded(0, "r", NotRun)
			}
		}, "rule 2"},
		{"sent again after a reset", func(b *Checker) {
			b.AttemptSent(0, "r", "a")
			b.AttemptEnded(0, "r", NoReply)
			b.AttemptSent(0, "r", "b")
		}, "rule 2"},
		{"repeat past its window", func(b *Checker) {
			b.RequestArrived(0, "k", time.Second, Retries{Within: 100 * ms})
			b.AttemptSent(0, "k", "a")
			b.AttemptEnded(50*ms, "k", MayRun)
			b.AttemptSent(100*ms, "k", "b")
		}, "rule 2"},
		{"just within the grace", func(b *Checker) { b.NodeNotified(0, "a", Draining, 0); b.AttemptSent(300*ms, "r", "a") }, ""},
		{"after a drain", func(b *Checker) { b.NodeNotified(0, "a", Draining, 0); b.AttemptSent(301*ms, "r", "a") }, "rule 3"},
		{"drained, then gone", func(b *Checker) {
			b.NodeNotified(0, "a", Draining, 0)
			b.NodeNotified(200*ms, "a", Gone, 0)
			b.AttemptSent(301*ms, "r", "a")
		}, "rule 3"},
		{"back before it was sent", func(b *Checker) {
			b.NodeNotified(0, "a", Gone, 0)
			b.NodeNotified(200*ms, "a", Ready, 0)
			b.AttemptSent(900*ms, "r", "a")
		}, ""},
		{"within a cold budget, and chance", func(b *Checker) { sendBurst(b, ms, 15, time.Second) }, ""},
		{"over a cold budget, and chance", func(b *Checker) { sendBurst(b, ms, 16, time.Second) }, "rule 4"},
		{"the same in two windows", func(b *Checker) { sendBurst(b, ms, 24, 2*time.Second) }, ""},
		{"within a cold budget", func(b *Checker) { b.terms.ChanceAllowance = 0.01; sendBurst(b, ms, 7, time.Second) }, ""},
		{"over a cold budget", func(b *Checker) { b.terms.ChanceAllowance = 0.01; sendBurst(b, ms, 9, time.Second) }, "rule 4"},
		{"chance grows with the root alone", func(b *Checker) { b.terms.ServerRate = 100; sendBurst(b, ms, 98, time.Second) }, ""},
		{"of a hundred it is a fifth", func(b *Checker) { b.terms.ServerRate = 100; sendBurst(b, ms, 109, time.Second) }, "rule 4"},
		{"a process that discovery told of", func(b *Checker) {
			b.NodeNotified(0, "c", Ready, 0)
			b.ServerChanged(ms, "c", Ready, 6*time.Second)
			sendBurst(b, 6001*ms, 16, time.Second)
		}, "rule 4"},
		{"an older list of it that came after", func(b *Checker) {
			b.NodeNotified(0, "c", Ready, 0)
			b.ServerChanged(ms, "c", Ready, 6*time.Second)
			sendBurst(b, 6001*ms, 8, 500*ms)
			b.NodeNotified(6501*ms, "c", Ready, 0)
			sendBurst(b, 6501*ms, 8, 500*ms)
		}, "rule 4"},
		{"a process that it has not told of", func(b *Checker) {
			b.NodeNotified(0, "c", Ready, 0)
			b.ServerChanged(ms, "c", Ready, ms)
			sendBurst(b, 4*time.Second, 40, time.Second)
		}, ""},
		{"a change that never came, just in time", func(b *Checker) {
			b.ServerChanged(0, "a", Draining, 0)
			answerAndAskAgain(b, "k", 6*time.Second)
			b.AttemptSent(6300*ms, "k", "a")
		}, ""},
		{"a change that never came", func(b *Checker) {
			b.ServerChanged(0, "a", Draining, 0)
			answerAndAskAgain(b, "k", 6*time.Second)
			b.AttemptSent(6301*ms, "k", "a")
		}, "rule 3"},
		{"a change that came before", func(b *Checker) {
			b.ServerChanged(0, "a", Draining, 0)
			b.NodeNotified(ms, "a", Draining, 0)
			b.AttemptSent(302*ms, "r", "a")
		}, "rule 3"},
		{"a change that came too late", func(b *Checker) {
			b.ServerChanged(0, "a", Draining, 0)
			answerAndAskAgain(b, "k", 6200*ms)
			b.NodeNotified(6200*ms, "a", Draining, 0)
			b.AttemptSent(6301*ms, "k", "a")
		}, "rule 3"},
		{"an older list that came after", func(b *Checker) {
			b.ServerChanged(0, "a", Draining, 0)
			b.NodeNotified(ms, "a", Draining, 0)
			b.NodeNotified(2*ms, "a", Ready, 0)
			answerAndAskAgain(b, "k", 6*time.Second)
			b.AttemptSent(6301*ms, "k", "a")
		}, "rule 3"},
		{"the first of two changes counts", func(b *Checker) {
			b.ServerChanged(0, "a", Draining, 0)
			b.ServerChanged(time.Second, "a", Gone, 0)
			answerAndAskAgain(b, "k", 6*time.Second)
			b.AttemptSent(6301*ms, "k", "a")
		}, "rule 3"},
		{"a change that was taken back", func(b *Checker) {
			b.ServerChanged(0, "a", Draining, 0)
			b.ServerChanged(time.Second, "a", Ready, 0)
			answerAndAskAgain(b, "k", 6*time.Second)
			b.AttemptSent(6500*ms, "k", "a")
		}, ""},
		{"a pushed change, just in time", func(b *Checker) {
			b.terms.NotifyDelay = 0
			b.ServerChanged(0, "a", Gone, 0)
			b.AttemptSent(300*ms, "r", "a")
		}, ""},
		{"a pushed change", func(b *Checker) {
			b.terms.NotifyDelay = 0
			b.ServerChanged(0, "a", Gone, 0)
			b.AttemptSent(301*ms, "r", "a")
		}, "rule 3"},
		{"a server that no word came of", func(b *Checker) { b.ServerChanged(0, "c", Ready, 0); b.AttemptSent(ms, "r", "c") }, "rule 3"},
		{"given up and kept: no word of another", func(b *Checker) {
			b.ServerChanged(0, "c", Ready, 0)
			b.NodeNotified(0, "a", Draining, 0)
			b.NodeNotified(0, "b", Gone, 0)
			b.CheckDeadlines(2 * ms)
		}, "rule 5"},
		{"given up and kept: a reset", func(b *Checker) {
			b.AttemptSent(0, "r", "a")
			b.AttemptEnded(ms, "r", NoReply)
			b.CheckDeadlines(3 * ms)
		}, "rule 5"},
		{"given up and answered", func(b *Checker) {
			b.AttemptSent(0, "r", "a")
			b.AttemptEnded(ms, "r", NoReply)
			b.RequestAnswered(2*ms, "r", Failed)
		}, ""},
		{"given up and kept: all tried", func(b *Checker) {
			b.NodeNotified(0, "c", Gone, 0)
			b.RequestArrived(0, "t", time.Second, anyZone)
			for _, s := range []string{"a", "b"} {
				b.AttemptSent(0, "t", s)
				b.AttemptEnded(0, "t", NotRun)
			}
			b.CheckDeadlines(2 * ms)
		}, "rule 5"},
		{"given up and kept: nobody is ready", func(b *Checker) {
			b.NodeNotified(0, "a", Draining, 0)
			b.NodeNotified(0, "b", Gone, 0)
			b.CheckDeadlines(2 * ms)
		}, "rule 5"},
		{"nobody is ready for a moment", func(b *Checker) {
			b.NodeNotified(0, "a", Draining, 0)
			b.NodeNotified(0, "b", Gone, 0)
			b.NodeNotified(0, "b", Ready, 0)
			b.CheckDeadlines(2 * ms)
		}, ""},
		{"given up and kept: its window is over", func(b *Checker) {
			b.RequestArrived(0, "k", time.Second, Retries{Within: 100 * ms})
			b.AttemptSent(0, "k", "a")
			b.AttemptEnded(50*ms, "k", MayRun)
			b.CheckDeadlines(102 * ms)
		}, "rule 5"},
		{"its window is over: within a tick", func(b *Checker) {
			endWithinRetryWindow(b, 99*ms)
			b.CheckDeadlines(105 * ms)
			b.RequestAnswered(105*ms, "k", Failed)
		}, ""},
		{"given up and kept: a tick after its window", func(b *Checker) {
			endWithinRetryWindow(b, 99*ms)
			b.CheckDeadlines(100 * ms)
			b.CheckDeadlines(106 * ms)
		}, "rule 5"},
		{"given up and kept: a tick after it ended", func(b *Checker) { endWithinRetryWindow(b, 101*ms); b.CheckDeadlines(103 * ms) }, "rule 5"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := NewChecker(terms)
			b.NodeNotified(0, "a", Ready, 0)
			b.NodeNotified(0, "b", Ready, 0)
			b.RequestArrived(0, "r", time.Second, Retries{})
			tt.play(b)
			if (tt.want != "") != (len(b.Violations) > 0) {
				t.Errorf("broken: %q, want %q", b.Violations, tt.want)
			}
			for _, got := range b.Violations {
				if !strings.HasPrefix(got, tt.want) {
					t.Errorf("broken: %q, want %q alone", got, tt.want)
				}
			}
		})
	}
}

// ask asks anew, as what was asked at the start is due before changes count as told.
func answerAndAskAgain(b *Checker, id string, now time.Duration) {
	b.RequestAnswered(0, "r", Refused)
	b.RequestArrived(now, id, now+time.Second, Retries{})
}

// window has a request end that may be repeated for 100 ms, where ticks are 4 ms.
func endWithinRetryWindow(b *Checker, at time.Duration) {
	b.terms.Tick = 4 * ms
	b.RequestArrived(0, "k", time.Second, Retries{Within: 100 * ms})
	b.AttemptSent(0, "k", "a")
	b.AttemptEnded(at, "k", MayRun)
}

// burst sends n requests to a server that has started at a time, evenly within another. If
// it is known by then, it is the same process for all that word has.
func sendBurst(b *Checker, from time.Duration, n int, within time.Duration) {
	if len(b.Unanswered()) > 0 {
		b.RequestAnswered(0, "r", Refused)
	}
	if b.servers["c"] == nil {
		b.NodeNotified(from, "c", Ready, from)
	}
	for i := range n {
		id, at := fmt.Sprint("c", i), from+within*time.Duration(i)/time.Duration(n)
		b.RequestArrived(at, id, at+time.Second, Retries{})
		b.AttemptSent(at, id, "c")
		b.RequestAnswered(at, id, Served)
	}
}
