package zonestatus

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// zonePair is a key: the observing zone and the observed one.
type zonePair struct{ from, to string }

// changeDraft is a change that is being made.
type changeDraft struct {
	now          time.Duration
	base         State
	lastChangeAt int64 // Unix ms, of the newest pair in base

	// Changes that can wait are set while deferrable, and dropped unless deferrableAllowed:
	// they go together, so that the log has few entries.
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

// elapsedSince is how long ago a pair was set. It is negative if another leader's clock was ahead.
func (d *changeDraft) elapsedSince(unixMs int64) time.Duration {
	return d.now - time.Duration(unixMs)*time.Millisecond
}

// pair returns a pair as it will be.
func (d *changeDraft) pair(from, to string) PairStatus {
	if pair, ok := d.changed[zonePair{from, to}]; ok {
		return pair
	}
	return d.base.pair(from, to)
}

// set changes a pair, and returns false if it was dropped because it has to wait.
func (d *changeDraft) set(pair PairStatus) bool {
	if d.deferrable && !d.deferrableAllowed {
		return false
	}
	pair.ChangedAt = d.now.Milliseconds()
	d.changed[zonePair{pair.From, pair.To}] = pair
	return true
}

// addReason adds a reason and the zones it was observed from, if there are any.
func (d *changeDraft) addReason(zone, what string, from []string) {
	if len(from) > 0 {
		d.reasons = append(d.reasons, zone+" "+what+" from "+strings.Join(from, ", "))
	}
}

func (d *changeDraft) isEmpty() bool { return len(d.changed) == 0 && d.shed == d.base.Shed }

func (d *changeDraft) changedPairs() []PairStatus {
	return slices.SortedFunc(maps.Values(d.changed), comparePairs)
}

// resultingPairs returns all pairs as they will be.
func (d *changeDraft) resultingPairs() []PairStatus {
	return mergePairs(d.base.Pairs, d.changedPairs())
}
