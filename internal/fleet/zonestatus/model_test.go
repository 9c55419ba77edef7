package zonestatus

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// symbols are what a small fleet can see for a while: from two zones' names, the bad share.
var symbols = map[byte]func(from, to string) float64{
	'.': func(_, _ string) float64 { return 0 },
	'b': func(_, to string) float64 { return one(to == "b") },
	'2': func(_, to string) float64 { return one(to != "a") },
	'*': func(_, _ string) float64 { return 1 },
	'l': func(from, to string) float64 { return one(from == "a" && to == "b") },
	'i': func(from, to string) float64 { return one(from != to && (from == "a" || to == "a")) },
	'h': func(_, to string) float64 { return one(to == "b") / 2 },
	's': nil, // nobody is heard
}

func one(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

// All sequences of three symbols, 2.5 s each, in a fleet of three zones with two members
// each. Property: no zone ever leaves all, nor more than Most of them; a zone begins to
// leave another only while its own members are served nothing there, and never while they
// are cut off; nothing is refused for want of room with no zone left; once all is well, all
// comes back to open, with nothing refused, within 45 s.
func TestPosturesExhaustively(t *testing.T) {
	t.Parallel()
	var all []string
	for a := range symbols {
		for b := range symbols {
			for c := range symbols {
				all = append(all, string([]byte{a, b, c}))
			}
		}
	}
	for _, script := range all {
		w := newWorld(t, 3, 2)
		play := func(symbol byte, d time.Duration) {
			see := symbols[symbol]
			w.mute = func(string) bool { return see == nil }
			w.bad = func(from, to string, _ int) float64 { return see(from, to) }
			for end := w.now + d; w.now < end; {
				before := w.state
				w.step(250 * time.Millisecond)
				for _, r := range w.state.Pairs {
					old := before.seen(r.From, r.To)
					if r.Status == Evacuating && old.Status != Evacuating && (see == nil || see(r.From, r.To) < 1 || symbol == 'i' && r.From == "a") {
						t.Fatalf("%s, at %c: %s leaves %s", script, symbol, r.From, r.To)
					}
				}
				for _, z := range w.zones {
					if n := w.state.left(z); n > w.cfg.most(3) || n > 2 {
						t.Fatalf("%s: %s has left %d", script, z, n)
					}
				}
			}
		}
		for i := range script {
			play(script[i], 2500*time.Millisecond)
		}
		for end := w.now + 45*time.Second; w.now < end && (rows(w.state) != "" || w.state.Shed != 0); {
			play('.', 2500*time.Millisecond)
		}
		if got := rows(w.state); got != "" || w.state.Shed != 0 {
			t.Fatalf("%s: in the end %s, %.2f over\n%s", script, got, w.state.Shed, strings.Join(w.log, "\n"))
		}
	}
}

// However gossip loses words, whichever members it takes for dead, and whatever one false
// member of each zone says, a sound fleet leaves nothing.
func TestFalseAlarms(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		loss := rapid.Float64Range(0, 0.6).Draw(rt, "loss")
		w := newWorld(t, rapid.IntRange(2, 6).Draw(rt, "zones"), rapid.IntRange(3, 6).Draw(rt, "members"))
		liar := rapid.IntRange(0, 5).Draw(rt, "liar")
		w.bad = func(_, _ string, m int) float64 { return one(m == liar && rng.Float64() < 0.8) }
		w.mute = func(string) bool { return rng.Float64() < loss }
		for range 60 {
			w.now += 100 * time.Millisecond
			members := w.members()
			for i := range members { // but two of each stay
				members[i].Alive = i%w.per < 2 || rng.Float64() > loss
			}
			if c, why, ok := w.watch.Evaluate(w.now, w.state, w.words(), members); ok {
				for _, r := range c.Set {
					if r.Status.gone() {
						rt.Fatalf("%s", why)
					}
				}
			}
		}
	})
}

// Each guard keeps something: without it the fault is seen.
func TestGuards(t *testing.T) {
	liar := func(_, to string, m int) float64 { return one(to == "b" && m == 0) }
	of := func(symbol byte) func(string, string, int) float64 {
		return func(from, to string, _ int) float64 { return symbols[symbol](from, to) }
	}
	for _, tt := range []struct {
		guard  string
		ignore Guards
		bad    func(from, to string, m int) float64
		seen   func(w *world) bool
	}{
		{"panic", Guards{PanicThreshold: true}, of('*'), func(w *world) bool { return w.refused > 0 }},
		{"accuse", Guards{ReporterConnectivity: true}, of('i'), func(w *world) bool { return w.state.seen("a", "c").Status == Evacuated }},
		{"viewpoint", Guards{ObservingZone: true}, of('l'), func(w *world) bool { return w.state.seen("c", "b").Status == Evacuated }},
		{"quorum", Guards{Quorum: true}, liar, func(w *world) bool { return w.state.seen("c", "b").Status == Evacuated }},
		{"return", Guards{RecoveryRamp: true}, of('b'), func(w *world) bool {
			w.dead(0, "b")
			w.run(time.Second)
			return w.state.seen("c", "b").Status == Active
		}},
	} {
		for _, out := range []bool{false, true} {
			w := newWorld(t, 3, 3)
			if w.bad = tt.bad; out {
				w.watch.DisabledGuards = tt.ignore
			}
			w.run(3 * time.Second)
			if tt.seen(w) != out {
				t.Errorf("%s, taken out %v: %s, %d refused", tt.guard, out, rows(w.state), w.refused)
			}
		}
	}
}

// An hour of faults, 300 members in 12 zones, in seconds: the record's changes a minute are
// bounded, the panic rule holds at each version, and all is open in the end.
func TestHour(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 12, 25)
	lost, half := map[string]bool{}, map[string]bool{}
	w.bad = func(_, to string, _ int) float64 { return max(one(lost[to]), one(half[to])/2) }
	rng, begin, leaves, most := rand.New(rand.NewPCG(29, 1)), 0, map[string]int{}, 0
	for second := range 3600 {
		w.load = 0.3 + 0.25*float64(second%1200)/1200
		if second%5 == 0 && second < 3000 {
			lost["c"] = second/600%2 == 1 && second/5%2 == 0 // flaps for ten minutes, twice
			lost["d"] = second/120%5 == 1
			lost["e"] = second/120%5 == 1 && second > 1200
			half["f"] = second/90%3 == 1
			half["g"] = rng.IntN(2) == 0 // never the same for long
		} else if second == 3000 {
			clear(lost)
			clear(half)
		}
		before := w.state
		w.step(time.Second)
		for _, z := range w.zones {
			if n := w.state.left(z); n > w.cfg.most(12) {
				t.Fatalf("second %d: %s has left %d", second, z, n)
			}
			if w.state.seen("a", z).Status == Evacuating && before.seen("a", z).Status != Evacuating {
				leaves[z]++
			}
		}
		if second%60 == 59 {
			most, begin = max(most, w.changes-begin), w.changes
		}
	}
	if most > 30 || leaves["c"] > 16 || leaves["d"] > 5 || leaves["a"]+leaves["f"]+leaves["g"] > 0 || rows(w.state) != "" || w.state.Shed != 0 {
		t.Errorf("%d changes a minute, left %v, in the end %s\n%s", most, leaves, rows(w.state), strings.Join(w.log, "\n"))
	}
	t.Logf("%d changes, %d in the busiest minute, leaves %v", w.changes, most, leaves)
}

func BenchmarkStep(b *testing.B) {
	for _, per := range []int{1, 25} {
		b.Run(fmt.Sprint(12*per, " members"), func(b *testing.B) {
			w := newWorld(b, 12, per)
			w.dead(1, "b")
			w.run(5 * time.Second)
			words, members := w.words(), w.members()
			b.ReportAllocs()
			for b.Loop() {
				w.watch.Evaluate(w.now, w.state, words, members)
			}
		})
	}
}
