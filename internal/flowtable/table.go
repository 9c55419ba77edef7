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
	noEntry         = int32(-1)
	slotsPerTimeout = 64 // of the wheel, in which each is Idle/slots long; two more for what is being filled and emptied
	wheelSlots      = slotsPerTimeout + 2
)

type entry struct {
	key       Key
	hash      uint32
	gen       uint32
	datagrams uint32 // datagrams, while it has not settled
	settled   bool
	used      bool
	firstSeen time.Duration
	lastSeen  time.Duration
	// The entry's neighbours in its wheel slot, and among the flows that have not
	// settled, the oldest first; among the free ones next alone.
	slot                         int32
	slotNext, slotPrev           int32
	unsettledNext, unsettledPrev int32
}

// Table is the flows that are known. One goroutine at a time may use it.
type Table struct {
	options   Options
	entries   []entry
	index     []int32 // open addressing with linear probing; none where empty
	mask      uint32
	firstFree int32

	now             time.Duration // never goes back
	tick            int64         // the wheel's, of length Idle/slots
	tickLength      time.Duration
	wheel           [wheelSlots]int32
	expiringSlot    int32 // the slot that is being emptied, none if none is
	nextExpiring    int32 // the next entry in it
	oldestUnsettled int32
	newestUnsettled int32
	used            int
	unsettled       int
}

// NewTable returns an empty table, with all its memory.
func NewTable(options Options) *Table {
	size := 2
	for size < 2*options.Entries {
		size *= 2
	}
	t := &Table{options: options, entries: make([]entry, options.Entries), index: make([]int32, size), mask: uint32(size - 1),
		tickLength: max(1, options.IdleTimeout/slotsPerTimeout), oldestUnsettled: noEntry, newestUnsettled: noEntry, expiringSlot: noEntry}
	for i := range t.index {
		t.index[i] = noEntry
	}
	for i := range t.entries {
		t.entries[i].unsettledNext = int32(i) + 1
	}
	t.entries[options.Entries-1].unsettledNext = noEntry
	for i := range t.wheel {
		t.wheel[i] = noEntry
	}
	return t
}

// Len is how many flows are known, and how many of them have not settled.
func (t *Table) Len() (all, unsettled int) { return t.used, t.unsettled }

// Lookup finds a flow.
func (t *Table) Lookup(key Key) (Ref, bool) {
	position, ok := t.find(key, t.hash(key))
	if !ok {
		return Ref{}, false
	}
	i := t.index[position]
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
	t.advanceClock(now)
	e := &t.entries[r.Index]
	e.lastSeen = t.now
	if !e.settled {
		if e.datagrams++; int(e.datagrams) >= t.options.SettledDatagrams && t.now-e.firstSeen >= t.options.SettledAge {
			t.removeUnsettled(r.Index)
			e.settled = true
		}
	}
}

// Admit gives a flow that Lookup did not find a place. If another flow has to give
// way, evicted is told of it first, while it is still valid; it may be nil.
func (t *Table) Admit(key Key, now time.Duration, evicted func(Ref)) (Ref, Verdict) {
	t.advanceClock(now)
	if !t.ensureFreeEntry(evicted) {
		return Ref{}, Full
	}
	i := t.firstFree
	e := &t.entries[i]
	t.firstFree = e.unsettledNext
	gen := e.gen + 1
	if gen == 0 {
		gen = 1
	}
	*e = entry{key: key, hash: t.hash(key), gen: gen, used: true, datagrams: 1, firstSeen: t.now, lastSeen: t.now}
	position, _ := t.find(key, e.hash)
	t.index[position] = i
	t.used++
	t.schedule(i)
	if t.options.SettledDatagrams <= 1 && t.options.SettledAge <= 0 {
		e.settled = true
		e.unsettledNext, e.unsettledPrev = noEntry, noEntry
	} else {
		t.appendUnsettled(i)
	}
	return Ref{i, gen}, Admitted
}

// Remove forgets the flow at a valid place.
func (t *Table) Remove(r Ref) {
	e := &t.entries[r.Index]
	t.removeFromIndex(r.Index)
	t.unschedule(r.Index)
	if !e.settled {
		t.removeUnsettled(r.Index)
	}
	e.used = false
	e.unsettledNext = t.firstFree
	t.firstFree = r.Index
	t.used--
}

// Advance forgets flows that have been silent for too long, looking at up to most
// entries. expired is told of each, while it is still valid. It is false if more
// are due: call it again, soon.
func (t *Table) Advance(now time.Duration, budget int, expired func(Ref)) (done bool) {
	t.advanceClock(now)
	target := int64(t.now / t.tickLength)
	if target-t.tick > wheelSlots { // a long pause: each slot once is enough
		t.tick = target - wheelSlots
	}
	for {
		if t.expiringSlot == noEntry {
			if t.tick >= target {
				return true
			}
			t.tick++
			t.expiringSlot = int32(t.tick % wheelSlots)
			t.nextExpiring = t.wheel[t.expiringSlot]
		}
		for t.nextExpiring != noEntry {
			if budget--; budget < 0 {
				return false
			}
			i := t.nextExpiring
			e := &t.entries[i]
			t.nextExpiring = e.slotNext
			if e.lastSeen+t.options.IdleTimeout > t.now { // it was heard of since it was put here
				t.unschedule(i)
				t.schedule(i)
				continue
			}
			r := Ref{i, e.gen}
			if expired != nil {
				expired(r)
			}
			t.Remove(r)
		}
		t.expiringSlot = noEntry
	}
}

// pass lets time go on. A clock that steps back stands still here, and goes on with
// the next that is later.
func (t *Table) advanceClock(now time.Duration) { t.now = max(t.now, now) }

// ---- who gives way ----

func (t *Table) ensureFreeEntry(evicted func(Ref)) bool {
	full := t.firstFree == noEntry
	switch t.options.Policy {
	case Reserve:
		unreserved := len(t.entries) - int(t.options.ReservedShare*float64(len(t.entries)))
		if !full && t.unsettled < unreserved {
			return true
		}
		if t.oldestUnsettled == noEntry { // settled flows alone
			return !full
		}
		t.evict(t.oldestUnsettled, evicted)
		return true
	case EvictIdle:
		if full {
			t.evict(t.longestIdle(), evicted)
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
func (t *Table) longestIdle() int32 {
	for tick := t.tick; ; tick++ {
		for i := t.wheel[tick%wheelSlots]; i != noEntry; {
			next, due := t.entries[i].slotNext, t.expiryTick(i)
			if due == tick {
				return i
			}
			if due%wheelSlots != tick%wheelSlots { // else it is here for a later turn of the wheel
				t.unschedule(i)
				t.schedule(i)
			}
			i = next
		}
	}
}

// ---- the wheel ----

// due is the tick in which the entry expires: the first that begins after it.
func (t *Table) expiryTick(i int32) int64 {
	return max(int64((t.entries[i].lastSeen+t.options.IdleTimeout)/t.tickLength)+1, t.tick+1)
}

func (t *Table) schedule(i int32) {
	e := &t.entries[i]
	slot := t.expiryTick(i) % wheelSlots
	e.slot, e.slotPrev, e.slotNext = int32(slot), noEntry, t.wheel[slot]
	if e.slotNext != noEntry {
		t.entries[e.slotNext].slotPrev = i
	}
	t.wheel[slot] = i
}

func (t *Table) unschedule(i int32) {
	e := &t.entries[i]
	if t.expiringSlot == e.slot && t.nextExpiring == i {
		t.nextExpiring = e.slotNext
	}
	if e.slotPrev != noEntry {
		t.entries[e.slotPrev].slotNext = e.slotNext
	} else {
		t.wheel[e.slot] = e.slotNext
	}
	if e.slotNext != noEntry {
		t.entries[e.slotNext].slotPrev = e.slotPrev
	}
}

// ---- flows that have not settled ----

func (t *Table) appendUnsettled(i int32) {
	e := &t.entries[i]
	e.unsettledPrev, e.unsettledNext = t.newestUnsettled, noEntry
	if t.newestUnsettled != noEntry {
		t.entries[t.newestUnsettled].unsettledNext = i
	} else {
		t.oldestUnsettled = i
	}
	t.newestUnsettled = i
	t.unsettled++
}

func (t *Table) removeUnsettled(i int32) {
	e := &t.entries[i]
	if e.unsettledPrev != noEntry {
		t.entries[e.unsettledPrev].unsettledNext = e.unsettledNext
	} else {
		t.oldestUnsettled = e.unsettledNext
	}
	if e.unsettledNext != noEntry {
		t.entries[e.unsettledNext].unsettledPrev = e.unsettledPrev
	} else {
		t.newestUnsettled = e.unsettledPrev
	}
	t.unsettled--
}

// ---- the index ----

func (t *Table) hash(key Key) uint32 {
	sum := maphash.Comparable(t.options.Seed, key)
	return uint32(sum) ^ uint32(sum>>32)
}

// find returns where the key stands in the index, or the empty place where it would.
func (t *Table) find(key Key, hash uint32) (position uint32, ok bool) {
	for position = hash & t.mask; ; position = (position + 1) & t.mask {
		i := t.index[position]
		if i == noEntry {
			return position, false
		}
		if e := &t.entries[i]; e.hash == hash && e.key == key {
			return position, true
		}
	}
}

// unindex takes an entry out and closes the gap (Knuth, volume 3, 6.4, algorithm R),
// so that look-ups need no marks of what was removed.
func (t *Table) removeFromIndex(i int32) {
	position, _ := t.find(t.entries[i].key, t.entries[i].hash)
	for gap := position; ; {
		position = (position + 1) & t.mask
		next := t.index[position]
		if next == noEntry {
			t.index[gap] = noEntry
			return
		}
		idealSlot := t.entries[next].hash & t.mask
		if (position-idealSlot)&t.mask >= (position-gap)&t.mask {
			t.index[gap] = next
			gap = position
		}
	}
}
