package zonestatus

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// zonePair is a map key: an observing zone and the zone that it observes.
type zonePair struct{ from, to string }

// changeDraft is a change under construction.
type changeDraft struct {
	now          time.Duration
	base         State
	lastChangeAt int64 // Unix ms, of the newest pair in base

	// While deferrable is true, set drops changes unless deferrableAllowed is true. Changes that
	// are not urgent are thus batched into few log entries.
	deferrable, deferrableAllowed bool

	changed map[zonePair]PairStatus
	shed    float64
	reasons []string
}

func newChangeDraft(now time.Duration, base State) *changeDraft {
	draft := &changeDraft{now: now, base: base, shed: base.Shed, changed: map[zonePair]PairStatus{}}
	for _, pair := range base.Pairs {
		draft.lastChangeAt = max(draft.lastChangeAt, pair.ChangedAt)
	}
	return draft
}

// elapsedSince returns the time since a pair was set. It is negative if the clock of the leader
// that set the pair was ahead.
func (d *changeDraft) elapsedSince(unixMs int64) time.Duration {
	return d.now - time.Duration(unixMs)*time.Millisecond
}

// pair returns a pair as it is after the change.
func (d *changeDraft) pair(from, to string) PairStatus {
	if pair, ok := d.changed[zonePair{from, to}]; ok {
		return pair
	}
	return d.base.pair(from, to)
}

// set changes a pair. It returns false if the change was dropped because it is deferred.
func (d *changeDraft) set(pair PairStatus) bool {
	if d.deferrable && !d.deferrableAllowed {
		return false
	}
	pair.ChangedAt = d.now.Milliseconds()
	d.changed[zonePair{pair.From, pair.To}] = pair
	return true
}

// addReason adds a reason and the zones that it was observed from. It adds nothing if there are
// no such zones.
func (d *changeDraft) addReason(zone, what string, from []string) {
	if len(from) > 0 {
		d.reasons = append(d.reasons, zone+" "+what+" from "+strings.Join(from, ", "))
	}
}

func (d *changeDraft) isEmpty() bool { return len(d.changed) == 0 && d.shed == d.base.Shed }

func (d *changeDraft) changedPairs() []PairStatus {
	return slices.SortedFunc(maps.Values(d.changed), comparePairs)
}

// resultingPairs returns all pairs as they are after the change.
func (d *changeDraft) resultingPairs() []PairStatus {
	return mergePairs(d.base.Pairs, d.changedPairs())
}
