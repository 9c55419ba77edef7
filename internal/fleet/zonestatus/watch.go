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
func (w *Controller) heldFor(now time.Duration, from, to string, what byte, is bool) time.Duration {
	k := condition{from, to, what}
	if !is {
		delete(w.conditions, k)
		return -1
	}
	m, ok := w.conditions[k]
	if !ok || now-m.lastSeenAt > w.cfg.ReportTTL {
		m.startedAt = now
	}
	m.lastSeenAt = now
	w.conditions[k] = m
	return now - m.startedAt
}

// Step decides the next change, if there is one, and why. now is Unix time. words are all
// that gossip has brought, of any age.
func (w *Controller) Evaluate(now time.Duration, s State, words []Report, members []Member) (c Change, why string, ok bool) {
	v := newFleetView(w.cfg, w.DisabledGuards, now, s, words, members)
	if w.shedChangedAt == 0 {
		w.shedChangedAt = now
	}
	d := &changeDraft{now: now, base: s, shed: s.Shed, changed: map[[2]string]PairStatus{}}
	for _, r := range s.Pairs {
		d.lastChangeAt = max(d.lastChangeAt, r.ChangedAt)
	}
	w.evacuate(v, d)
	w.finishEvacuations(d)
	w.computeShed(v, d)
	// All that can wait goes together, so that the record has few changes.
	d.deferrable = true
	d.deferrableAllowed = d.elapsedSince(d.lastChangeAt) >= w.cfg.StableInterval || w.DisabledGuards.RecoveryRamp
	w.startRecoveries(v, d)
	w.advanceRecoveries(v, d)
	w.limitPartialFailures(v, d)
	w.resetFailures(d)
	w.relaxShed(v, d)
	maps.DeleteFunc(w.conditions, func(_ condition, m conditionSpan) bool { return m.lastSeenAt < now })
	if len(d.changed) == 0 && d.shed == s.Shed || len(v.zones) == 0 || w.sentVersion == s.Version+1 && now-w.sentAt < proposalTimeout {
		return Change{}, "", false
	}
	w.sentVersion, w.sentAt = s.Version+1, now
	if d.shed != s.Shed {
		w.shedChangedAt = now
	}
	return Change{BaseVersion: s.Version, Set: d.changedPairs(), Zones: v.zones, Shed: d.shed}, strings.Join(d.reasons, "; "), true
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
func (d *changeDraft) elapsedSince(since int64) time.Duration {
	return d.now - time.Duration(since)*time.Millisecond
}

// seen returns a row as it will be.
func (d *changeDraft) pair(from, to string) PairStatus {
	if r, ok := d.changed[[2]string{from, to}]; ok {
		return r
	}
	return d.base.pair(from, to)
}

// put sets a row. What can wait is dropped while it has to.
func (d *changeDraft) set(r PairStatus) bool {
	if d.deferrable && !d.deferrableAllowed {
		return false
	}
	r.ChangedAt = d.now.Milliseconds()
	d.changed[[2]string{r.From, r.To}] = r
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
func (w *Controller) finishEvacuations(d *changeDraft) {
	var left []string
	for _, r := range d.base.Pairs {
		if r.Status != Evacuating || d.elapsedSince(r.ChangedAt) < w.cfg.EvacuationTimeout {
			continue
		}
		next := PairStatus{From: r.From, To: r.To, Status: Evacuated, Failures: r.Failures}
		if hold := w.cfg.holdInterval(r.Failures); hold > 0 {
			next.Status, next.HeldUntil = HeldBack, (d.now + hold).Milliseconds()
		}
		if d.set(next) {
			left = append(left, r.From+" to "+r.To)
		}
	}
	if len(left) > 0 {
		d.reasons = append(d.reasons, "left by all: "+strings.Join(left, ", "))
	}
}

// quiet forgets failures, and that a zone was suspect.
func (w *Controller) resetFailures(d *changeDraft) {
	for _, r := range d.base.Pairs {
		if r.Status == Active && r.Share == 1 && d.elapsedSince(r.ChangedAt) >= w.cfg.FailureResetInterval && d.pair(r.From, r.To) == r {
			if d.set(PairStatus{From: r.From, To: r.To, Share: 1}) {
				d.addReason(r.To, "has been quiet", []string{r.From})
			}
		}
	}
}
