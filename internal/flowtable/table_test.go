package flowtable

import (
	"hash/maphash"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func testOptions(entries int, p Policy) Options {
	return Options{Entries: entries, IdleTimeout: 640 * time.Millisecond, Policy: p, ReservedShare: 0.5, SettledDatagrams: 3, SettledAge: 20 * time.Millisecond,
		Seed: maphash.MakeSeed()}
}

func testKey(n int) (k Key) {
	k.Addr[14], k.Addr[15], k.Port = byte(n>>8), byte(n), 7
	return k
}

// model is a table as anybody would write it: a map, searched from end to end.
type modelTable struct {
	flows    map[Key]*modelFlow
	nextRank int
}

type modelFlow struct {
	ref                 Ref
	firstSeen, lastSeen time.Duration
	datagrams, rank     int
	settled             bool
}

// The table does what a plain map does, whatever comes in whatever order; what it
// forgets it forgets in time, and a place that had another flow is not valid.
func TestTableMatchesModel(t *testing.T) {
	for name, policy := range map[string]Policy{"reserve": Reserve, "refuse": RefuseNew, "idle": EvictIdle} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				o := testOptions(rapid.IntRange(1, 12).Draw(t, "entries"), policy)
				table, m := NewTable(o), modelTable{flows: map[Key]*modelFlow{}}
				var now time.Duration
				var old []Ref
				tick := o.IdleTimeout / slotsPerTimeout
				forget := func(r Ref) {
					f := m.flows[table.Key(r)]
					if f == nil || f.ref != r || !table.IsValid(r) {
						t.Fatalf("forgets %v, which nobody has", r)
					}
					delete(m.flows, table.Key(r))
					old = append(old, r)
				}
				for range rapid.IntRange(1, 200).Draw(t, "steps") {
					switch rapid.IntRange(0, 9).Draw(t, "step") {
					case 0, 1: // time goes on, or steps back
						now += time.Duration(rapid.IntRange(-50, 300).Draw(t, "ms")) * time.Millisecond
					case 2:
						for done := false; !done; {
							done = table.Advance(now, rapid.IntRange(1, 5).Draw(t, "most"), func(r Ref) {
								if f := m.flows[table.Key(r)]; f != nil && f.lastSeen+o.IdleTimeout > table.now {
									t.Fatalf("expired %v early", o.IdleTimeout-(table.now-f.lastSeen))
								}
								forget(r)
							})
						}
						for k, f := range m.flows {
							if table.now-f.lastSeen > o.IdleTimeout+2*tick {
								t.Fatalf("%v has been silent for %v and is still there", k, table.now-f.lastSeen)
							}
						}
					case 3:
						for k, f := range m.flows { // any one
							table.Remove(f.ref)
							old = append(old, f.ref)
							delete(m.flows, k)
							break
						}
					default:
						k := testKey(rapid.IntRange(0, 30).Draw(t, "key"))
						r, ok := table.Lookup(k)
						f := m.flows[k]
						if ok != (f != nil) || ok && r != f.ref {
							t.Fatalf("look-up of %v: %v, %v, want %+v", k, r, ok, f)
						}
						if ok {
							table.Touch(r, now)
							f.lastSeen = table.now
							if f.datagrams++; !f.settled && f.datagrams >= o.SettledDatagrams && f.lastSeen-f.firstSeen >= o.SettledAge {
								f.settled = true
							}
							if table.IsSettled(r) != f.settled {
								t.Fatalf("settled %v, want %v", table.IsSettled(r), f.settled)
							}
							continue
						}
						var gaveWay *modelFlow
						r, v := table.Admit(k, now, func(r Ref) { gaveWay = m.flows[table.Key(r)]; forget(r) })
						m.checkAdmission(t, table, o, gaveWay, v)
						if v == Admitted {
							m.nextRank++
							m.flows[k] = &modelFlow{ref: r, firstSeen: table.now, lastSeen: table.now, datagrams: 1, rank: m.nextRank}
						}
					}
					all, young := table.Len()
					wantYoung := 0
					for _, f := range m.flows {
						if !f.settled {
							wantYoung++
						}
						if !table.IsValid(f.ref) {
							t.Fatal("a flow that was never forgotten has no place")
						}
					}
					if all != len(m.flows) || young != wantYoung || all > o.Entries {
						t.Fatalf("%d flows, %d young, want %d and %d", all, young, len(m.flows), wantYoung)
					}
				}
				for _, r := range old {
					if table.IsValid(r) {
						t.Fatalf("%v is valid again", r)
					}
				}
			})
		})
	}
}

// check holds an admission to the policy. gaveWay is out of the model by now.
func (m *modelTable) checkAdmission(t *rapid.T, table *Table, o Options, gaveWay *modelFlow, v Verdict) {
	before := len(m.flows)
	if gaveWay != nil {
		before++
	}
	young, oldest, idlest := 0, (*modelFlow)(nil), (*modelFlow)(nil)
	for _, f := range m.flows {
		if !f.settled {
			young++
			if oldest == nil || f.rank < oldest.rank {
				oldest = f
			}
		}
		if idlest == nil || f.lastSeen < idlest.lastSeen {
			idlest = f
		}
	}
	if gaveWay != nil && !gaveWay.settled {
		young++
	}
	full := before == o.Entries
	switch o.Policy {
	case RefuseNew:
		if (v == Full) != full || gaveWay != nil {
			t.Fatalf("refuse: full %v, verdict %v, gave way %+v", full, v, gaveWay)
		}
	case EvictIdle:
		if v != Admitted || (gaveWay != nil) != full {
			t.Fatalf("idle: full %v, verdict %v, gave way %+v", full, v, gaveWay)
		}
		if gaveWay != nil && idlest != nil && gaveWay.lastSeen > idlest.lastSeen+2*o.IdleTimeout/slotsPerTimeout {
			t.Fatalf("idle: one heard of at %v gave way, another was silent since %v", gaveWay.lastSeen, idlest.lastSeen)
		}
	case Reserve:
		open := o.Entries - int(o.ReservedShare*float64(o.Entries))
		must := full || young >= open
		switch {
		case gaveWay != nil && gaveWay.settled:
			t.Fatal("reserve: a settled flow gave way")
		case gaveWay != nil && (!must || oldest != nil && oldest.rank < gaveWay.rank):
			t.Fatalf("reserve: %+v gave way, full %v, %d young of %d", gaveWay, full, young, open)
		case v == Full && (!full || young > 0):
			t.Fatalf("reserve: refused, full %v, %d young", full, young)
		}
	}
}

// A flood of flows of one datagram leaves settled flows alone.
func TestFloodLeavesSettledFlowsAlone(t *testing.T) {
	o := testOptions(1000, Reserve)
	table := NewTable(o)
	var steady []Ref
	for i := range 400 {
		r, v := table.Admit(testKey(i), 0, nil)
		if v != Admitted {
			t.Fatal(v)
		}
		steady = append(steady, r)
	}
	for ms := 10; ms <= 40; ms += 10 {
		for _, r := range steady {
			table.Touch(r, time.Duration(ms)*time.Millisecond)
		}
	}
	for i := range 100_000 {
		k := Key{Addr: [16]byte{1, byte(i >> 16), byte(i >> 8), byte(i)}}
		if _, v := table.Admit(k, 40*time.Millisecond, nil); v != Admitted {
			t.Fatalf("newcomer %d: %v", i, v)
		}
	}
	for i, r := range steady {
		if !table.IsValid(r) {
			t.Fatalf("steady flow %d was pushed out", i)
		}
	}
	if all, young := table.Len(); young != 500 || all != 900 {
		t.Errorf("%d flows, %d young", all, young)
	}
}

func BenchmarkTable(b *testing.B) {
	for _, entries := range []int{10_000, 1_000_000, 10_000_000} {
		for _, share := range []int{10, 100} {
			o := testOptions(entries, Reserve)
			o.ReservedShare, o.SettledDatagrams, o.SettledAge = 0, 1, 0
			table := NewTable(o)
			n := entries / 100 * share
			key := func(i int) (k Key) {
				i = i * 7919 % n
				k.Addr[12], k.Addr[13], k.Addr[14], k.Addr[15] = byte(i>>24), byte(i>>16), byte(i>>8), byte(i)
				return k
			}
			for i := range n {
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
