package rules

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// Each rule's break is caught, and what only comes near one is not.
func TestBreaksAreCaught(t *testing.T) {
	terms := Terms{Attempts: 2, Drain: 300 * ms, Ramp: 10 * time.Second, ColdShare: 0.2, Rate: 10, Multiple: 3,
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
		{"within a cold budget", func(b *Book) { burst(b, 7, time.Second) }, ""},
		{"over a cold budget", func(b *Book) { burst(b, 9, time.Second) }, "rule 4"},
		{"the same in two windows", func(b *Book) { burst(b, 12, 2*time.Second) }, ""},
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

// burst sends n requests to a server that has just started, evenly within a time.
func burst(b *Book, n int, within time.Duration) {
	b.Answered(0, "r", Refused)
	b.Told(ms, "c", Ready, ms)
	for i := range n {
		id, at := fmt.Sprint("c", i), ms+within*time.Duration(i)/time.Duration(n)
		b.Asked(at, id, at+time.Second, Repeats{})
		b.Sent(at, id, "c")
		b.Answered(at, id, Served)
	}
}
