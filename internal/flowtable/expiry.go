package flowtable

import "time"

const (
	// slotsPerTimeout is how many slots of the timer wheel the idle timeout is cut into.
	slotsPerTimeout = 64
	// wheelSlots has two slots more: the one that is being filled and the one being emptied.
	wheelSlots = slotsPerTimeout + 2
)

// Advance expires idle flows and looks at no more than budget entries. expired is called for
// each, while its Ref is still valid; it may be nil. Advance returns false if there are more
// entries to look at, and should then be called again soon.
func (t *Table) Advance(now time.Duration, budget int, expired func(Ref)) (done bool) {
	t.advanceClock(now)
	target := int64(t.now / t.tickLength)
	if target-t.tick > wheelSlots { // after a long pause each slot is looked at once
		t.tick = target - wheelSlots
	}
	for t.expiringSlot != noEntry || t.tick < target {
		if t.expiringSlot == noEntry {
			t.tick++
			t.expiringSlot = int32(t.tick % wheelSlots)
			t.nextExpiring = t.wheel[t.expiringSlot]
		}
		for t.nextExpiring != noEntry {
			if budget--; budget < 0 {
				return false
			}
			i := t.nextExpiring
			t.nextExpiring = t.entries[i].slotNext
			t.expireOrReschedule(i, expired)
		}
		t.expiringSlot = noEntry
	}
	return true
}

// expireOrReschedule removes the flow if it is idle. Datagrams don't move their flow in the
// wheel: one that had some since it was scheduled is moved to its right slot here.
func (t *Table) expireOrReschedule(i int32, expired func(Ref)) {
	if t.entries[i].lastSeen+t.options.IdleTimeout > t.now {
		t.unschedule(i)
		t.schedule(i)
		return
	}
	r := t.ref(i)
	if expired != nil {
		expired(r)
	}
	t.Remove(r)
}

// expiryTick is the first tick that begins after the entry's idle timeout.
func (t *Table) expiryTick(i int32) int64 {
	expiresAt := t.entries[i].lastSeen + t.options.IdleTimeout
	return max(int64(expiresAt/t.tickLength)+1, t.tick+1)
}

// schedule puts an entry into the slot of its expiry.
func (t *Table) schedule(i int32) {
	e := &t.entries[i]
	slot := t.expiryTick(i) % wheelSlots
	e.slot = int32(slot)
	e.slotPrev, e.slotNext = noEntry, t.wheel[slot]
	if e.slotNext != noEntry {
		t.entries[e.slotNext].slotPrev = i
	}
	t.wheel[slot] = i
}

// unschedule takes an entry out of its slot, also while Advance looks at that slot.
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

// longestIdle finds the entry that has been idle longest, to within a slot of the wheel, in
// a table that is not empty. Entries that had datagrams since they were scheduled are moved to
// their right slot, so that each is skipped at most once for each datagram.
func (t *Table) longestIdle() int32 {
	for tick := t.tick; ; tick++ {
		for i := t.wheel[tick%wheelSlots]; i != noEntry; {
			next, expiryTick := t.entries[i].slotNext, t.expiryTick(i)
			if expiryTick == tick {
				return i
			}
			if expiryTick%wheelSlots != tick%wheelSlots { // else it is due in a later turn of the wheel
				t.unschedule(i)
				t.schedule(i)
			}
			i = next
		}
	}
}
