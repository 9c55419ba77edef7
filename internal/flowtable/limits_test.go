package flowtable

import (
	"hash/maphash"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A source gets its rate and no more; others beside a flood get theirs, but for the
// few whose two slots the flood has drained.
func TestSourceRateIsLimitedPerSource(t *testing.T) {
	s := NewSources(SourceOptions{Slots: 4096, Rate: 10, Burst: 5, Seed: maphash.MakeSeed()})
	flood := Key{Addr: [16]byte{10: 0xff, 11: 0xff, 12: 127, 15: 9}}
	passed := 0
	for ms := range 10_000 {
		flood.Port++ // a new flow each time, of one source
		if s.Allow(flood, time.Duration(ms)*time.Millisecond) {
			passed++
		}
	}
	if passed < 100 || passed > 220 { // two slots' worth at most
		t.Errorf("the flood got %d flows in 10 s, want about 100 to 2 times that", passed)
	}
	refused := 0
	for i := range 1000 {
		k := Key{Addr: [16]byte{10: 0xff, 11: 0xff, 12: 127, 13: 1, 14: byte(i >> 8), 15: byte(i)}}
		if !s.Allow(k, 10*time.Second) {
			refused++
		}
	}
	if refused > 10 {
		t.Errorf("%d of 1,000 others were refused", refused)
	}
	six := Key{Addr: [16]byte{0x20, 1, 0xd, 0xb8}}
	passed = 0
	for i := range 100 {
		six.Addr[15] = byte(i) // one /64
		if s.Allow(six, 20*time.Second) {
			passed++
		}
	}
	if passed > 10 {
		t.Errorf("one IPv6 network got %d flows at once", passed)
	}
	if open := NewSources(SourceOptions{}); !open.Allow(six, 0) {
		t.Error("refused without a bound")
	}
}

// What waits stays within its bounds, in order, and every datagram is handed over
// or dropped, once.
func TestQueueStaysWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := QueueLimit{rapid.IntRange(0, 4).Draw(t, "count"), rapid.IntRange(0, 40).Draw(t, "bytes")}
		all := QueueBudget{rapid.IntRange(0, 8).Draw(t, "all"), rapid.IntRange(0, 60).Draw(t, "all bytes")}
		room := all
		var queues [3]Queue
		in, out, dropped := 0, 0, 0
		last := [3]int{-1, -1, -1}
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			q := rapid.IntRange(0, 2).Draw(t, "queue")
			if rapid.IntRange(0, 4).Draw(t, "step") == 0 {
				queues[q].Drain(&room, func(d []byte) {
					if int(d[0]) <= last[q] {
						t.Fatalf("%d after %d", d[0], last[q])
					}
					last[q] = int(d[0])
					out++
				})
				continue
			}
			d := make([]byte, rapid.IntRange(1, 20).Draw(t, "size"))
			d[0] = byte(n)
			in++
			queues[q].Put(d, b, &room, func([]byte) { dropped++ })
			waiting, bytes := 0, 0
			for _, w := range queues {
				waiting, bytes = waiting+w.Len(), bytes+w.bytes
				if w.Len() > b.Count || w.bytes > b.Bytes {
					t.Fatalf("%d datagrams of %d bytes wait, allowed %+v", w.Len(), w.bytes, b)
				}
			}
			if in != out+dropped+waiting || room.Count != all.Count-waiting || room.Bytes != all.Bytes-bytes || room.Count < 0 || room.Bytes < 0 {
				t.Fatalf("in %d, out %d, dropped %d, waiting %d, room %+v of %+v", in, out, dropped, waiting, room, all)
			}
		}
	})
}

func isFirstGeneration(r Ref) bool { return r.Gen == 0 }

// The newest go first where they shall, and a line of many that nobody wants any
// more does not grow.
func TestPacerServesNewestFirst(t *testing.T) {
	p := Pacer{Rate: 1, Burst: 2, NewestFirst: true}
	for i := range 100_000 {
		p.Add(Ref{Index: int32(i), Gen: uint32(min(1, 99_990-min(99_990, i)))}, isFirstGeneration) // the last ten are wanted
	}
	if p.Len() > 3000 {
		t.Errorf("%d in line", p.Len())
	}
	for want := int32(99_999); want > 99_997; want-- {
		if r, ok, _ := p.Next(0, isFirstGeneration); !ok || r.Index != want {
			t.Errorf("%v, %v, want %d", r, ok, want)
		}
	}
	if _, ok, wait := p.Next(0, isFirstGeneration); ok || wait <= 0 {
		t.Error("beyond its burst")
	}
}

func TestPacerKeepsRateAndOrder(t *testing.T) {
	p := Pacer{Rate: 100, Burst: 10}
	for i := range 3000 {
		p.Add(Ref{Index: int32(i)}, isFirstGeneration)
		p.Add(Ref{Index: int32(i), Gen: 1}, isFirstGeneration) // nobody wants it any more: it takes no turn
	}
	next := int32(0)
	for ms := time.Duration(0); p.Len() > 0; ms++ {
		for {
			r, ok, wait := p.Next(ms*time.Millisecond, isFirstGeneration)
			if !ok {
				if wait <= 0 && p.Len() > 0 {
					t.Fatal("some wait, and nobody is told how long")
				}
				break
			}
			if r.Index != next {
				t.Fatalf("%d, want %d", r.Index, next)
			}
			next++
		}
		if most := 10 + 100*(float64(ms)+1)/1000; float64(next) > most {
			t.Fatalf("%d within %v ms", next, ms)
		}
		if ms > 31_000 {
			t.Fatal("too slow")
		}
	}
}
