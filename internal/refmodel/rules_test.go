package refmodel

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// Each rule's break is caught, and what only comes near one is not.
func TestBreaksAreCaught(t *testing.T) {
	terms := Terms{Attempts: 2, Drain: 300 * ms, Told: 6 * time.Second, Ramp: 10 * time.Second, ColdShare: 0.2, Rate: 10, Multiple: 3,
		Window: time.Second, Prompt: ms}
	anyZone := Repeats{}
	tests := []struct {
		name string
		play func(b *Book)
		want string // how the lines in Broken begin; empty if there are none
	}{
		{"served", func(b *Book) { b.Sent(0, "r", "a"); b.Answered(ms, "r", Served); b.Pass(time.Hour) }, ""},
		{"answered twice", func(b *Book) { b.Answered(ms, "r", Refused); b.Answered(ms, "r", Refused) }, "rule 1"},
		{"never answered", func(b *Book) { b.Pass(1001 * ms) }, "rule 1"},
		{"answered at the last moment", func(b *Book) { b.Answered(time.Second, "r", Failed); b.Pass(time.Hour) }, ""},
		{"served by nobody", func(b *Book) { b.Answered(ms, "r", Served) }, "rule 1"},
		{"answered unasked", func(b *Book) { b.Answered(ms, "q", Failed); b.Left(ms, "r") }, "rule 1"},
		{"refused as harmless", func(b *Book) {
			b.Asked(0, "u", time.Second, Repeats{Never: true})
			b.Sent(0, "u", "a")
			b.Ended(0, "u", MayRun)
			b.Answered(0, "u", Refused)
		}, "rule 1"},
		{"answered as its client left", func(b *Book) { b.Left(ms, "r"); b.Answered(ms, "r", Refused) }, ""},
		{"answered after its client left", func(b *Book) { b.Left(ms, "r"); b.Answered(2*ms, "r", Refused) }, "rule 1"},
		{"left", func(b *Book) { b.Left(ms, "r"); b.Pass(time.Hour) }, ""},
		{"two at once", func(b *Book) { b.Sent(0, "r", "a"); b.Sent(ms, "r", "b") }, "rule 2"},
		{"answered while out", func(b *Book) { b.Sent(0, "r", "a"); b.Answered(ms, "r", Refused) }, "rule 2"},
		{"sent after its answer", func(b *Book) { b.Answered(0, "r", Failed); b.Sent(ms, "r", "a") }, "rule 2"},
		{"sent as its client left", func(b *Book) { b.Left(ms, "r"); b.Sent(ms, "r", "a") }, ""},
		{"sent after its client left", func(b *Book) { b.Left(ms, "r"); b.Sent(2*ms, "r", "a") }, "rule 2"},
		{"sent just after its client left", func(b *Book) { b.terms.Left = 100 * ms; b.Left(ms, "r"); b.Sent(101*ms, "r", "a") }, ""},
		{"sent late after its client left", func(b *Book) { b.terms.Left = 100 * ms; b.Left(ms, "r"); b.Sent(102*ms, "r", "a") }, "rule 2"},
		{"sent again after its client left", func(b *Book) {
			b.terms.Left = 100 * ms
			b.Sent(0, "r", "a")
			b.Left(ms, "r")
			b.Ended(50*ms, "r", NotRun)
			b.Sent(102*ms, "r", "b")
		}, "rule 2"},
		{"two at once as its client left", func(b *Book) { b.Sent(0, "r", "a"); b.Left(ms, "r"); b.Sent(ms, "r", "b") }, "rule 2"},
		{"one after the other", func(b *Book) { b.Sent(0, "r", "a"); b.Ended(ms, "r", NotRun); b.Sent(ms, "r", "b") }, ""},
		{"too often", func(b *Book) {
			for _, s := range []string{"a", "b", "a"} {
				b.Sent(0, "r", s)
				b.Ended(0, "r", NotRun)
			}
		}, "rule 2"},
		{"sent again after a reset", func(b *Book) { b.Sent(0, "r", "a"); b.Ended(0, "r", NoReply); b.Sent(0, "r", "b") }, "rule 2"},
		{"repeat past its window", func(b *Book) {
			b.Asked(0, "k", time.Second, Repeats{Within: 100 * ms})
			b.Sent(0, "k", "a")
			b.Ended(50*ms, "k", MayRun)
			b.Sent(100*ms, "k", "b")
		}, "rule 2"},
		{"just within the grace", func(b *Book) { b.Told(0, "a", Leaving, 0); b.Sent(300*ms, "r", "a") }, ""},
		{"after a drain", func(b *Book) { b.Told(0, "a", Leaving, 0); b.Sent(301*ms, "r", "a") }, "rule 3"},
		{"drained, then gone", func(b *Book) {
			b.Told(0, "a", Leaving, 0)
			b.Told(200*ms, "a", Gone, 0)
			b.Sent(301*ms, "r", "a")
		}, "rule 3"},
		{"back before it was sent", func(b *Book) {
			b.Told(0, "a", Gone, 0)
			b.Told(200*ms, "a", Ready, 0)
			b.Sent(900*ms, "r", "a")
		}, ""},
		{"within a cold budget, and chance", func(b *Book) { burst(b, ms, 15, time.Second) }, ""},
		{"over a cold budget, and chance", func(b *Book) { burst(b, ms, 16, time.Second) }, "rule 4"},
		{"the same in two windows", func(b *Book) { burst(b, ms, 24, 2*time.Second) }, ""},
		{"within a cold budget", func(b *Book) { b.terms.Chance = 0.01; burst(b, ms, 7, time.Second) }, ""},
		{"over a cold budget", func(b *Book) { b.terms.Chance = 0.01; burst(b, ms, 9, time.Second) }, "rule 4"},
		{"chance grows with the root alone", func(b *Book) { b.terms.Rate = 100; burst(b, ms, 98, time.Second) }, ""},
		{"of a hundred it is a fifth", func(b *Book) { b.terms.Rate = 100; burst(b, ms, 109, time.Second) }, "rule 4"},
		{"a process that discovery told of", func(b *Book) {
			b.Told(0, "c", Ready, 0)
			b.Changed(ms, "c", Ready, 6*time.Second)
			burst(b, 6001*ms, 16, time.Second)
		}, "rule 4"},
		{"an older list of it that came after", func(b *Book) {
			b.Told(0, "c", Ready, 0)
			b.Changed(ms, "c", Ready, 6*time.Second)
			burst(b, 6001*ms, 8, 500*ms)
			b.Told(6501*ms, "c", Ready, 0)
			burst(b, 6501*ms, 8, 500*ms)
		}, "rule 4"},
		{"a process that it has not told of", func(b *Book) {
			b.Told(0, "c", Ready, 0)
			b.Changed(ms, "c", Ready, ms)
			burst(b, 4*time.Second, 40, time.Second)
		}, ""},
		{"a change that never came, just in time", func(b *Book) {
			b.Changed(0, "a", Leaving, 0)
			ask(b, "k", 6*time.Second)
			b.Sent(6300*ms, "k", "a")
		}, ""},
		{"a change that never came", func(b *Book) {
			b.Changed(0, "a", Leaving, 0)
			ask(b, "k", 6*time.Second)
			b.Sent(6301*ms, "k", "a")
		}, "rule 3"},
		{"a change that came before", func(b *Book) {
			b.Changed(0, "a", Leaving, 0)
			b.Told(ms, "a", Leaving, 0)
			b.Sent(302*ms, "r", "a")
		}, "rule 3"},
		{"a change that came too late", func(b *Book) {
			b.Changed(0, "a", Leaving, 0)
			ask(b, "k", 6200*ms)
			b.Told(6200*ms, "a", Leaving, 0)
			b.Sent(6301*ms, "k", "a")
		}, "rule 3"},
		{"an older list that came after", func(b *Book) {
			b.Changed(0, "a", Leaving, 0)
			b.Told(ms, "a", Leaving, 0)
			b.Told(2*ms, "a", Ready, 0)
			ask(b, "k", 6*time.Second)
			b.Sent(6301*ms, "k", "a")
		}, "rule 3"},
		{"the first of two changes counts", func(b *Book) {
			b.Changed(0, "a", Leaving, 0)
			b.Changed(time.Second, "a", Gone, 0)
			ask(b, "k", 6*time.Second)
			b.Sent(6301*ms, "k", "a")
		}, "rule 3"},
		{"a change that was taken back", func(b *Book) {
			b.Changed(0, "a", Leaving, 0)
			b.Changed(time.Second, "a", Ready, 0)
			ask(b, "k", 6*time.Second)
			b.Sent(6500*ms, "k", "a")
		}, ""},
		{"a pushed change, just in time", func(b *Book) { b.terms.Told = 0; b.Changed(0, "a", Gone, 0); b.Sent(300*ms, "r", "a") }, ""},
		{"a pushed change", func(b *Book) { b.terms.Told = 0; b.Changed(0, "a", Gone, 0); b.Sent(301*ms, "r", "a") }, "rule 3"},
		{"a server that no word came of", func(b *Book) { b.Changed(0, "c", Ready, 0); b.Sent(ms, "r", "c") }, "rule 3"},
		{"given up and kept: no word of another", func(b *Book) {
			b.Changed(0, "c", Ready, 0)
			b.Told(0, "a", Leaving, 0)
			b.Told(0, "b", Gone, 0)
			b.Pass(2 * ms)
		}, "rule 5"},
		{"given up and kept: a reset", func(b *Book) { b.Sent(0, "r", "a"); b.Ended(ms, "r", NoReply); b.Pass(3 * ms) }, "rule 5"},
		{"given up and answered", func(b *Book) { b.Sent(0, "r", "a"); b.Ended(ms, "r", NoReply); b.Answered(2*ms, "r", Failed) }, ""},
		{"given up and kept: all tried", func(b *Book) {
			b.Told(0, "c", Gone, 0)
			b.Asked(0, "t", time.Second, anyZone)
			for _, s := range []string{"a", "b"} {
				b.Sent(0, "t", s)
				b.Ended(0, "t", NotRun)
			}
			b.Pass(2 * ms)
		}, "rule 5"},
		{"given up and kept: nobody is ready", func(b *Book) {
			b.Told(0, "a", Leaving, 0)
			b.Told(0, "b", Gone, 0)
			b.Pass(2 * ms)
		}, "rule 5"},
		{"nobody is ready for a moment", func(b *Book) {
			b.Told(0, "a", Leaving, 0)
			b.Told(0, "b", Gone, 0)
			b.Told(0, "b", Ready, 0)
			b.Pass(2 * ms)
		}, ""},
		{"given up and kept: its window is over", func(b *Book) {
			b.Asked(0, "k", time.Second, Repeats{Within: 100 * ms})
			b.Sent(0, "k", "a")
			b.Ended(50*ms, "k", MayRun)
			b.Pass(102 * ms)
		}, "rule 5"},
		{"its window is over: within a tick", func(b *Book) { window(b, 99*ms); b.Pass(105 * ms); b.Answered(105*ms, "k", Failed) }, ""},
		{"given up and kept: a tick after its window", func(b *Book) { window(b, 99*ms); b.Pass(100 * ms); b.Pass(106 * ms) }, "rule 5"},
		{"given up and kept: a tick after it ended", func(b *Book) { window(b, 101*ms); b.Pass(103 * ms) }, "rule 5"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := NewBook(terms)
			b.Told(0, "a", Ready, 0)
			b.Told(0, "b", Ready, 0)
			b.Asked(0, "r", time.Second, Repeats{})
			tt.play(b)
			if (tt.want != "") != (len(b.Broken) > 0) {
				t.Errorf("broken: %q, want %q", b.Broken, tt.want)
			}
			for _, got := range b.Broken {
				if !strings.HasPrefix(got, tt.want) {
					t.Errorf("broken: %q, want %q alone", got, tt.want)
				}
			}
		})
	}
}

// ask asks anew, as what was asked at the start is due before changes count as told.
func ask(b *Book, id string, now time.Duration) {
	b.Answered(0, "r", Refused)
	b.Asked(now, id, now+time.Second, Repeats{})
}

// window has a request end that may be repeated for 100 ms, where ticks are 4 ms.
func window(b *Book, at time.Duration) {
	b.terms.Tick = 4 * ms
	b.Asked(0, "k", time.Second, Repeats{Within: 100 * ms})
	b.Sent(0, "k", "a")
	b.Ended(at, "k", MayRun)
}

// burst sends n requests to a server that has started at a time, evenly within another. If
// it is known by then, it is the same process for all that word has.
func burst(b *Book, from time.Duration, n int, within time.Duration) {
	if len(b.Owed()) > 0 {
		b.Answered(0, "r", Refused)
	}
	if b.servers["c"] == nil {
		b.Told(from, "c", Ready, from)
	}
	for i := range n {
		id, at := fmt.Sprint("c", i), from+within*time.Duration(i)/time.Duration(n)
		b.Asked(at, id, at+time.Second, Repeats{})
		b.Sent(at, id, "c")
		b.Answered(at, id, Served)
	}
}
