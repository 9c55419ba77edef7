// Package flow decides about flows of datagrams: which have a place in a table of
// fixed size, which are forgotten, which newcomers are turned away, and how many
// wait. It does no I/O, reads no clock and starts no goroutine: time is an argument,
// counted from any fixed moment. Nothing is allocated for a datagram.
package flowtable

import (
	"hash/maphash"
	"time"
)

// Key tells flows apart: the client's address as 16 bytes and port, and the number
// of the listener that it sent to.
type Key struct {
	Addr     [16]byte
	Port     uint16
	Listener uint16
}

// Policy says what becomes of a new flow when the table is full.
type Policy uint8

// The policies.
const (
	// Reserve keeps a share of the table for settled flows; in the rest a newcomer
	// takes the place of the oldest flow that has not settled. A flood of flows of
	// one datagram then only turns over its own places.
	Reserve Policy = iota
	// RefuseNew turns newcomers away until flows expire.
	RefuseNew
	// EvictIdle gives a newcomer the place of the flow that was silent longest.
	EvictIdle
)

// Options size a table.
type Options struct {
	Entries          int           // 1 to 1<<30
	IdleTimeout      time.Duration // a flow silent for so long is forgotten; at least 64 of the clock's units
	Policy           Policy
	ReservedShare    float64       // with Reserve: of the table, for settled flows alone; 0 to 1
	SettledDatagrams int           // a flow has settled after so many datagrams
	SettledAge       time.Duration // that came over at least so long
	Seed             maphash.Seed  // kept from whoever chooses addresses: collisions can't be made
}

// Ref is a place in the table, for as long as one flow has it.
type Ref struct {
	Index int32
	Gen   uint32 // no flow has 0
}

// Verdict is what becomes of a datagram of a flow that was not known.
type Verdict uint8

// The verdicts.
const (
	Admitted Verdict = iota
	Full             // the policy turns it away
)

const (
	none  = int32(-1)
	slots = 64 // of the wheel, in which each is Idle/slots long; two more for what is being filled and emptied
	wheel = slots + 2
)

type entry struct {
	key     Key
	hash    uint32
	gen     uint32
	count   uint32 // datagrams, while it has not settled
	settled bool
	used    bool
	born    time.Duration
	last    time.Duration
	// The entry's neighbours in its wheel slot, and among the flows that have not
	// settled, the oldest first; among the free ones next alone.
	slot                 int32
	slotNext, slotPrev   int32
	youngNext, youngPrev int32
}

// Table is the flows that are known. One goroutine at a time may use it.
type Table struct {
	o       Options
	entries []entry
	index   []int32 // open addressing with linear probing; none where empty
	mask    uint32
	free    int32

	now      time.Duration // never goes back
	tick     int64         // the wheel's, of length Idle/slots
	length   time.Duration
	wheel    [wheel]int32
	walking  int32 // the slot that is being emptied, none if none is
	walked   int32 // the next entry in it
	oldest   int32
	youngest int32
	used     int
	young    int
}

// NewTable returns an empty table, with all its memory.
func NewTable(o Options) *Table {
	size := 2
	for size < 2*o.Entries {
		size *= 2
	}
	t := &Table{o: o, entries: make([]entry, o.Entries), index: make([]int32, size), mask: uint32(size - 1),
		length: max(1, o.IdleTimeout/slots), oldest: none, youngest: none, walking: none}
	for i := range t.index {
		t.index[i] = none
	}
	for i := range t.entries {
		t.entries[i].youngNext = int32(i) + 1
	}
	t.entries[o.Entries-1].youngNext = none
	for i := range t.wheel {
		t.wheel[i] = none
	}
	return t
}

// Len is how many flows are known, and how many of them have not settled.
func (t *Table) Len() (all, young int) { return t.used, t.young }

// Lookup finds a flow.
func (t *Table) Lookup(k Key) (Ref, bool) {
	at, ok := t.find(k, t.hash(k))
	if !ok {
		return Ref{}, false
	}
	i := t.index[at]
	return Ref{i, t.entries[i].gen}, true
}

// Valid tells whether the flow that had the place still has it.
func (t *Table) IsValid(r Ref) bool {
	return r.Index >= 0 && int(r.Index) < len(t.entries) && t.entries[r.Index].used && t.entries[r.Index].gen == r.Gen
}

// Key is the flow's at a valid place.
func (t *Table) Key(r Ref) Key { return t.entries[r.Index].key }

// Settled tells whether the flow at a valid place has settled.
func (t *Table) IsSettled(r Ref) bool { return t.entries[r.Index].settled }

// Touch notes a datagram of the flow at a valid place.
func (t *Table) Touch(r Ref, now time.Duration) {
	t.pass(now)
	e := &t.entries[r.Index]
	e.last = t.now
	if !e.settled {
		if e.count++; int(e.count) >= t.o.SettledDatagrams && t.now-e.born >= t.o.SettledAge {
			t.unlinkYoung(r.Index)
			e.settled = true
		}
	}
}

// Admit gives a flow that Lookup did not find a place. If another flow has to give
// way, evicted is told of it first, while it is still valid; it may be nil.
func (t *Table) Admit(k Key, now time.Duration, evicted func(Ref)) (Ref, Verdict) {
	t.pass(now)
	if !t.makeRoom(evicted) {
		return Ref{}, Full
	}
	i := t.free
	e := &t.entries[i]
	t.free = e.youngNext
	gen := e.gen + 1
	if gen == 0 {
		gen = 1
	}
	*e = entry{key: k, hash: t.hash(k), gen: gen, used: true, count: 1, born: t.now, last: t.now}
	at, _ := t.find(k, e.hash)
	t.index[at] = i
	t.used++
	t.arm(i)
	if t.o.SettledDatagrams <= 1 && t.o.SettledAge <= 0 {
		e.settled = true
		e.youngNext, e.youngPrev = none, none
	} else {
		t.linkYoung(i)
	}
	return Ref{i, gen}, Admitted
}

// Remove forgets the flow at a valid place.
func (t *Table) Remove(r Ref) {
	e := &t.entries[r.Index]
	t.unindex(r.Index)
	t.disarm(r.Index)
	if !e.settled {
		t.unlinkYoung(r.Index)
	}
	e.used = false
	e.youngNext = t.free
	t.free = r.Index
	t.used--
}

// Advance forgets flows that have been silent for too long, looking at up to most
// entries. expired is told of each, while it is still valid. It is false if more
// are due: call it again, soon.
func (t *Table) Advance(now time.Duration, most int, expired func(Ref)) (done bool) {
	t.pass(now)
	target := int64(t.now / t.length)
	if target-t.tick > wheel { // a long pause: each slot once is enough
		t.tick = target - wheel
	}
	for {
		if t.walking == none {
			if t.tick >= target {
				return true
			}
			t.tick++
			t.walking = int32(t.tick % wheel)
			t.walked = t.wheel[t.walking]
		}
		for t.walked != none {
			if most--; most < 0 {
				return false
			}
			i := t.walked
			e := &t.entries[i]
			t.walked = e.slotNext
			if e.last+t.o.IdleTimeout > t.now { // it was heard of since it was put here
				t.disarm(i)
				t.arm(i)
				continue
			}
			r := Ref{i, e.gen}
			if expired != nil {
				expired(r)
			}
			t.Remove(r)
		}
		t.walking = none
	}
}

// pass lets time go on. A clock that steps back stands still here, and goes on with
// the next that is later.
func (t *Table) pass(now time.Duration) { t.now = max(t.now, now) }

// ---- who gives way ----

func (t *Table) makeRoom(evicted func(Ref)) bool {
	full := t.free == none
	switch t.o.Policy {
	case Reserve:
		open := len(t.entries) - int(t.o.ReservedShare*float64(len(t.entries)))
		if !full && t.young < open {
			return true
		}
		if t.oldest == none { // settled flows alone
			return !full
		}
		t.evict(t.oldest, evicted)
		return true
	case EvictIdle:
		if full {
			t.evict(t.idlest(), evicted)
		}
		return true
	}
	return !full
}

func (t *Table) evict(i int32, evicted func(Ref)) {
	r := Ref{i, t.entries[i].gen}
	if evicted != nil {
		evicted(r)
	}
	t.Remove(r)
}

// idlest finds the flow that was silent longest, to within a slot of the wheel.
// Entries that were heard of since they were put into their slot go on to the right
// one, so that each is passed over once for each time it was heard of at most.
func (t *Table) idlest() int32 {
	for tick := t.tick; ; tick++ {
		for i := t.wheel[tick%wheel]; i != none; {
			next, due := t.entries[i].slotNext, t.due(i)
			if due == tick {
				return i
			}
			if due%wheel != tick%wheel { // else it is here for a later turn of the wheel
				t.disarm(i)
				t.arm(i)
			}
			i = next
		}
	}
}

// ---- the wheel ----

// due is the tick in which the entry expires: the first that begins after it.
func (t *Table) due(i int32) int64 {
	return max(int64((t.entries[i].last+t.o.IdleTimeout)/t.length)+1, t.tick+1)
}

func (t *Table) arm(i int32) {
	e := &t.entries[i]
	slot := t.due(i) % wheel
	e.slot, e.slotPrev, e.slotNext = int32(slot), none, t.wheel[slot]
	if e.slotNext != none {
		t.entries[e.slotNext].slotPrev = i
	}
	t.wheel[slot] = i
}

func (t *Table) disarm(i int32) {
	e := &t.entries[i]
	if t.walking == e.slot && t.walked == i {
		t.walked = e.slotNext
	}
	if e.slotPrev != none {
		t.entries[e.slotPrev].slotNext = e.slotNext
	} else {
		t.wheel[e.slot] = e.slotNext
	}
	if e.slotNext != none {
		t.entries[e.slotNext].slotPrev = e.slotPrev
	}
}

// ---- flows that have not settled ----

func (t *Table) linkYoung(i int32) {
	e := &t.entries[i]
	e.youngPrev, e.youngNext = t.youngest, none
	if t.youngest != none {
		t.entries[t.youngest].youngNext = i
	} else {
		t.oldest = i
	}
	t.youngest = i
	t.young++
}

func (t *Table) unlinkYoung(i int32) {
	e := &t.entries[i]
	if e.youngPrev != none {
		t.entries[e.youngPrev].youngNext = e.youngNext
	} else {
		t.oldest = e.youngNext
	}
	if e.youngNext != none {
		t.entries[e.youngNext].youngPrev = e.youngPrev
	} else {
		t.youngest = e.youngPrev
	}
	t.young--
}

// ---- the index ----

func (t *Table) hash(k Key) uint32 {
	h := maphash.Comparable(t.o.Seed, k)
	return uint32(h) ^ uint32(h>>32)
}

// find returns where the key stands in the index, or the empty place where it would.
func (t *Table) find(k Key, hash uint32) (at uint32, ok bool) {
	for at = hash & t.mask; ; at = (at + 1) & t.mask {
		i := t.index[at]
		if i == none {
			return at, false
		}
		if e := &t.entries[i]; e.hash == hash && e.key == k {
			return at, true
		}
	}
}

// unindex takes an entry out and closes the gap (Knuth, volume 3, 6.4, algorithm R),
// so that look-ups need no marks of what was removed.
func (t *Table) unindex(i int32) {
	at, _ := t.find(t.entries[i].key, t.entries[i].hash)
	for gap := at; ; {
		at = (at + 1) & t.mask
		next := t.index[at]
		if next == none {
			t.index[gap] = none
			return
		}
		home := t.entries[next].hash & t.mask
		if (at-home)&t.mask >= (at-gap)&t.mask {
			t.index[gap] = next
			gap = at
		}
	}
}
