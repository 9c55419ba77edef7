package zonestatus

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// again is after what time a change that has not come back is decided anew.
const again = time.Second

// Watch is the decider of the member that leads the record. What it remembers are only the
// times since when it has seen a thing: a new leader's goes on from the record's state.
// It is not safe for concurrent use.
type Controller struct {
	DisabledGuards Guards

	cfg    Config
	marks  map[mark]span
	sent   uint64 // the version that the last change was decided on
	sentAt time.Duration
	overAt time.Duration
	alone  *State // of a member that hears nobody: the record's word that it builds on
}

// mark names a thing that is seen: what of whom from where.
type mark struct {
	from, to string
	what     byte
}

type span struct{ since, last time.Duration }

// NewWatch returns a decider that has seen nothing yet.
func NewController(cfg Config) *Controller {
	return &Controller{cfg: cfg.full(), marks: map[mark]span{}}
}

// held tells for how long a thing has been so; negative if it is not.
func (w *Controller) held(now time.Duration, from, to string, what byte, is bool) time.Duration {
	k := mark{from, to, what}
	if !is {
		delete(w.marks, k)
		return -1
	}
	m, ok := w.marks[k]
	if !ok || now-m.last > w.cfg.ReportTTL {
		m.since = now
	}
	m.last = now
	w.marks[k] = m
	return now - m.since
}

// Step decides the next change, if there is one, and why. now is Unix time. words are all
// that gossip has brought, of any age.
func (w *Controller) Evaluate(now time.Duration, s State, words []Report, members []Member) (c Change, why string, ok bool) {
	v := see(w.cfg, w.DisabledGuards, now, s, words, members)
	if w.overAt == 0 {
		w.overAt = now
	}
	d := &draft{now: now, base: s, over: s.Shed, set: map[[2]string]PairStatus{}}
	for _, r := range s.Pairs {
		d.latest = max(d.latest, r.ChangedAt)
	}
	w.leave(v, d)
	w.settle(d)
	w.carry(v, d)
	// All that can wait goes together, so that the record has few changes.
	d.slow = true
	d.may = d.age(d.latest) >= w.cfg.StableInterval || w.DisabledGuards.RecoveryRamp
	w.back(v, d)
	w.climb(v, d)
	w.part(v, d)
	w.quiet(d)
	w.ease(v, d)
	maps.DeleteFunc(w.marks, func(_ mark, m span) bool { return m.last < now })
	if len(d.set) == 0 && d.over == s.Shed || len(v.zones) == 0 || w.sent == s.Version+1 && now-w.sentAt < again {
		return Change{}, "", false
	}
	w.sent, w.sentAt = s.Version+1, now
	if d.over != s.Shed {
		w.overAt = now
	}
	return Change{BaseVersion: s.Version, Set: d.rows(), Zones: v.zones, Shed: d.over}, strings.Join(d.why, "; "), true
}

// draft is a change that is being made.
type draft struct {
	now       time.Duration
	base      State
	latest    int64 // when the record's last row was set
	slow, may bool
	set       map[[2]string]PairStatus
	over      float64
	why       []string
}

// age is how long ago a row was set. Another leader's clock may have been ahead.
func (d *draft) age(since int64) time.Duration {
	return d.now - time.Duration(since)*time.Millisecond
}

// seen returns a row as it will be.
func (d *draft) seen(from, to string) PairStatus {
	if r, ok := d.set[[2]string{from, to}]; ok {
		return r
	}
	return d.base.seen(from, to)
}

// put sets a row. What can wait is dropped while it has to.
func (d *draft) put(r PairStatus) bool {
	if d.slow && !d.may {
		return false
	}
	r.ChangedAt = d.now.Milliseconds()
	d.set[[2]string{r.From, r.To}] = r
	return true
}

// say adds a reason, and the zones from which it holds.
func (d *draft) say(zone, what string, from []string) {
	if len(from) > 0 {
		d.why = append(d.why, zone+" "+what+" from "+strings.Join(from, ", "))
	}
}

func (d *draft) rows() []PairStatus {
	return slices.SortedFunc(maps.Values(d.set), order)
}

// after returns all rows as they will be.
func (d *draft) after() []PairStatus { return merged(d.base.Pairs, d.rows()) }

// settle ends Leaving once all have heard: what has failed before is held.
func (w *Controller) settle(d *draft) {
	var left []string
	for _, r := range d.base.Pairs {
		if r.Status != Evacuating || d.age(r.ChangedAt) < w.cfg.EvacuationTimeout {
			continue
		}
		next := PairStatus{From: r.From, To: r.To, Status: Evacuated, Failures: r.Failures}
		if hold := w.cfg.hold(r.Failures); hold > 0 {
			next.Status, next.HeldUntil = HeldBack, (d.now + hold).Milliseconds()
		}
		if d.put(next) {
			left = append(left, r.From+" to "+r.To)
		}
	}
	if len(left) > 0 {
		d.why = append(d.why, "left by all: "+strings.Join(left, ", "))
	}
}

// quiet forgets failures, and that a zone was suspect.
func (w *Controller) quiet(d *draft) {
	for _, r := range d.base.Pairs {
		if r.Status == Active && r.Share == 1 && d.age(r.ChangedAt) >= w.cfg.FailureResetInterval && d.seen(r.From, r.To) == r {
			if d.put(PairStatus{From: r.From, To: r.To, Share: 1}) {
				d.say(r.To, "has been quiet", []string{r.From})
			}
		}
	}
}
