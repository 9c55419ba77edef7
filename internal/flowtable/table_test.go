package flowtable

import (
	"hash/maphash"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func testOptions(entries int, policy Policy) Options {
	return Options{
		Entries:          entries,
		IdleTimeout:      640 * time.Millisecond,
		Policy:           policy,
		ReservedShare:    0.5,
		SettledDatagrams: 3,
		SettledAge:       20 * time.Millisecond,
		Seed:             maphash.MakeSeed(),
	}
}

func testKey(n int) Key {
	return Key{Addr: [16]byte{14: byte(n >> 8), 15: byte(n)}, Port: 7}
}

// The table does what a plain map does, whatever comes in whatever order. What it forgets
// it forgets in time, and the Ref of a forgotten flow never becomes valid again.
func TestTableMatchesModel(t *testing.T) {
	for name, policy := range map[string]Policy{"reserve": Reserve, "refuse": RefuseNew, "idle": EvictIdle} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				m := newModel(testOptions(rapid.IntRange(1, 12).Draw(t, "entries"), policy))
				for range rapid.IntRange(1, 200).Draw(t, "steps") {
					m.step(t)
				}
				m.checkRemovedInvalid(t)
			})
		})
	}
}

// A flood of flows of one datagram leaves settled flows alone.
func TestFloodLeavesSettledFlowsAlone(t *testing.T) {
	table := NewTable(testOptions(1000, Reserve))
	var settled []Ref
	for i := range 400 {
		r, verdict := table.Admit(testKey(i), 0, nil)
		if verdict != Admitted {
			t.Fatal(verdict)
		}
		settled = append(settled, r)
	}
	for ms := 10; ms <= 40; ms += 10 {
		for _, r := range settled {
			table.Touch(r, time.Duration(ms)*time.Millisecond)
		}
	}
	for i := range 100_000 {
		key := Key{Addr: [16]byte{1, byte(i >> 16), byte(i >> 8), byte(i)}}
		if _, verdict := table.Admit(key, 40*time.Millisecond, nil); verdict != Admitted {
			t.Fatalf("new flow %d: %v", i, verdict)
		}
	}
	for i, r := range settled {
		if !table.IsValid(r) {
			t.Fatalf("settled flow %d was evicted", i)
		}
	}
	if all, unsettled := table.Len(); unsettled != 500 || all != 900 {
		t.Errorf("%d flows, %d unsettled", all, unsettled)
	}
}

func BenchmarkTable(b *testing.B) {
	for _, entries := range []int{10_000, 1_000_000, 10_000_000} {
		for _, share := range []int{10, 100} {
			options := testOptions(entries, Reserve)
			options.ReservedShare, options.SettledDatagrams, options.SettledAge = 0, 1, 0
			table := NewTable(options)
			flows := entries / 100 * share
			key := func(i int) Key {
				i = i * 7919 % flows // not in order
				return Key{Addr: [16]byte{12: byte(i >> 24), 13: byte(i >> 16), 14: byte(i >> 8), 15: byte(i)}}
			}
			for i := range flows {
				table.Admit(key(i), 0, nil)
			}
			name := strconv.Itoa(entries) + "/" + strconv.Itoa(share) + "%"
			b.Run("lookup+touch/"+name, func(b *testing.B) {
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					r, ok := table.Lookup(key(i))
					if !ok {
						b.Fatal("gone")
					}
					table.Touch(r, 0)
				}
			})
			b.Run("remove+admit/"+name, func(b *testing.B) {
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					r, _ := table.Lookup(key(i))
					table.Remove(r)
					table.Admit(key(i), 0, nil)
				}
			})
		}
	}
}
