package zonestatus

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// again is after what time a change that has not come back is decided anew.
const proposalTimeout = time.Second

// Watch is the decider of the member that leads the record. What it remembers are only the
// times since when it has seen a thing: a new leader's goes on from the record's state.
// It is not safe for concurrent use.
type Controller struct {
	DisabledGuards Guards

	cfg           Config
	conditions    map[condition]conditionSpan
	sentVersion   uint64 // the version that the last change was decided on
	sentAt        time.Duration
	shedChangedAt time.Duration
	committed     *State // of a member that hears nobody: the record's word that it builds on
}

// mark names a thing that is seen: what of whom from where.
type condition struct {
	from, to string
	kind     byte
}

type conditionSpan struct{ startedAt, lastSeenAt time.Duration }

// NewWatch returns a decider that has seen nothing yet.
func NewController(cfg Config) *Controller {
	return &Controller{cfg: cfg.withDefaults(), conditions: map[condition]conditionSpan{}}
}

// held tells for how long a thing has been so; negative if it is not.
func (c *Controller) heldFor(now time.Duration, from, to string, kind byte, holds bool) time.Duration {
	key := condition{from, to, kind}
	if !holds {
		delete(c.conditions, key)
		return -1
	}
	span, ok := c.conditions[key]
	if !ok || now-span.lastSeenAt > c.cfg.ReportTTL {
		span.startedAt = now
	}
	span.lastSeenAt = now
	c.conditions[key] = span
	return now - span.startedAt
}

// Step decides the next change, if there is one, and why. now is Unix time. words are all
// that gossip has brought, of any age.
func (c *Controller) Evaluate(now time.Duration, state State, reports []Report, members []Member) (change Change, reason string, ok bool) {
	view := newFleetView(c.cfg, c.DisabledGuards, now, state, reports, members)
	if c.shedChangedAt == 0 {
		c.shedChangedAt = now
	}
	draft := &changeDraft{now: now, base: state, shed: state.Shed, changed: map[[2]string]PairStatus{}}
	for _, pair := range state.Pairs {
		draft.lastChangeAt = max(draft.lastChangeAt, pair.ChangedAt)
	}
	c.evacuate(view, draft)
	c.finishEvacuations(draft)
	c.computeShed(view, draft)
	// All that can wait goes together, so that the record has few changes.
	draft.deferrable = true
	draft.deferrableAllowed = draft.elapsedSince(draft.lastChangeAt) >= c.cfg.StableInterval || c.DisabledGuards.RecoveryRamp
	c.startRecoveries(view, draft)
	c.advanceRecoveries(view, draft)
	c.limitPartialFailures(view, draft)
	c.resetFailures(draft)
	c.relaxShed(view, draft)
	maps.DeleteFunc(c.conditions, func(_ condition, span conditionSpan) bool { return span.lastSeenAt < now })
	if len(draft.changed) == 0 && draft.shed == state.Shed || len(view.zones) == 0 || c.sentVersion == state.Version+1 && now-c.sentAt < proposalTimeout {
		return Change{}, "", false
	}
	c.sentVersion, c.sentAt = state.Version+1, now
	if draft.shed != state.Shed {
		c.shedChangedAt = now
	}
	return Change{BaseVersion: state.Version, Set: draft.changedPairs(), Zones: view.zones, Shed: draft.shed}, strings.Join(draft.reasons, "; "), true
}

// draft is a change that is being made.
type changeDraft struct {
	now                           time.Duration
	base                          State
	lastChangeAt                  int64 // when the record's last row was set
	deferrable, deferrableAllowed bool
	changed                       map[[2]string]PairStatus
	shed                          float64
	reasons                       []string
}

// age is how long ago a row was set. Another leader's clock may have been ahead.
func (d *changeDraft) elapsedSince(unixMs int64) time.Duration {
	return d.now - time.Duration(unixMs)*time.Millisecond
}

// seen returns a row as it will be.
func (d *changeDraft) pair(from, to string) PairStatus {
	if pair, ok := d.changed[[2]string{from, to}]; ok {
		return pair
	}
	return d.base.pair(from, to)
}

// put sets a row. What can wait is dropped while it has to.
func (d *changeDraft) set(pair PairStatus) bool {
	if d.deferrable && !d.deferrableAllowed {
		return false
	}
	pair.ChangedAt = d.now.Milliseconds()
	d.changed[[2]string{pair.From, pair.To}] = pair
	return true
}

// say adds a reason, and the zones from which it holds.
func (d *changeDraft) addReason(zone, what string, from []string) {
	if len(from) > 0 {
		d.reasons = append(d.reasons, zone+" "+what+" from "+strings.Join(from, ", "))
	}
}

func (d *changeDraft) changedPairs() []PairStatus {
	return slices.SortedFunc(maps.Values(d.changed), comparePairs)
}

// after returns all rows as they will be.
func (d *changeDraft) resultingPairs() []PairStatus {
	return mergePairs(d.base.Pairs, d.changedPairs())
}

// settle ends Leaving once all have heard: what has failed before is held.
func (c *Controller) finishEvacuations(draft *changeDraft) {
	var evacuated []string
	for _, pair := range draft.base.Pairs {
		if pair.Status != Evacuating || draft.elapsedSince(pair.ChangedAt) < c.cfg.EvacuationTimeout {
			continue
		}
		next := PairStatus{From: pair.From, To: pair.To, Status: Evacuated, Failures: pair.Failures}
		if hold := c.cfg.holdInterval(pair.Failures); hold > 0 {
			next.Status, next.HeldUntil = HeldBack, (draft.now + hold).Milliseconds()
		}
		if draft.set(next) {
			evacuated = append(evacuated, pair.From+" to "+pair.To)
		}
	}
	if len(evacuated) > 0 {
		draft.reasons = append(draft.reasons, "left by all: "+strings.Join(evacuated, ", "))
	}
}

// quiet forgets failures, and that a zone was suspect.
func (c *Controller) resetFailures(draft *changeDraft) {
	for _, pair := range draft.base.Pairs {
		if pair.Status == Active && pair.Share == 1 && draft.elapsedSince(pair.ChangedAt) >= c.cfg.FailureResetInterval && draft.pair(pair.From, pair.To) == pair {
			if draft.set(PairStatus{From: pair.From, To: pair.To, Share: 1}) {
				draft.addReason(pair.To, "has been quiet", []string{pair.From})
			}
		}
	}
}
