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
type Watch struct {
	Ignore Guards

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
func NewWatch(cfg Config) *Watch { return &Watch{cfg: cfg.full(), marks: map[mark]span{}} }

// held tells for how long a thing has been so; negative if it is not.
func (w *Watch) held(now time.Duration, from, to string, what byte, is bool) time.Duration {
	k := mark{from, to, what}
	if !is {
		delete(w.marks, k)
		return -1
	}
	m, ok := w.marks[k]
	if !ok || now-m.last > w.cfg.Fresh {
		m.since = now
	}
	m.last = now
	w.marks[k] = m
	return now - m.since
}

// Step decides the next change, if there is one, and why. now is Unix time. words are all
// that gossip has brought, of any age.
func (w *Watch) Step(now time.Duration, s State, words []Word, members []Member) (c Change, why string, ok bool) {
	v := see(w.cfg, w.Ignore, now, s, words, members)
	if w.overAt == 0 {
		w.overAt = now
	}
	d := &draft{now: now, base: s, over: s.Over, set: map[[2]string]Seen{}}
	for _, r := range s.Seen {
		d.latest = max(d.latest, r.Since)
	}
	w.leave(v, d)
	w.settle(d)
	w.carry(v, d)
	// All that can wait goes together, so that the record has few changes.
	d.slow = true
	d.may = d.age(d.latest) >= w.cfg.Steady || w.Ignore.Return
	w.back(v, d)
	w.climb(v, d)
	w.part(v, d)
	w.quiet(d)
	w.ease(v, d)
	maps.DeleteFunc(w.marks, func(_ mark, m span) bool { return m.last < now })
	if len(d.set) == 0 && d.over == s.Over || len(v.zones) == 0 || w.sent == s.Version+1 && now-w.sentAt < again {
		return Change{}, "", false
	}
	w.sent, w.sentAt = s.Version+1, now
	if d.over != s.Over {
		w.overAt = now
	}
	return Change{Base: s.Version, Set: d.rows(), Zones: v.zones, Over: d.over}, strings.Join(d.why, "; "), true
}

// draft is a change that is being made.
type draft struct {
	now       time.Duration
	base      State
	latest    int64 // when the record's last row was set
	slow, may bool
	set       map[[2]string]Seen
	over      float64
	why       []string
}

// age is how long ago a row was set. Another leader's clock may have been ahead.
func (d *draft) age(since int64) time.Duration {
	return d.now - time.Duration(since)*time.Millisecond
}

// seen returns a row as it will be.
func (d *draft) seen(from, to string) Seen {
	if r, ok := d.set[[2]string{from, to}]; ok {
		return r
	}
	return d.base.seen(from, to)
}

// put sets a row. What can wait is dropped while it has to.
func (d *draft) put(r Seen) bool {
	if d.slow && !d.may {
		return false
	}
	r.Since = d.now.Milliseconds()
	d.set[[2]string{r.From, r.To}] = r
	return true
}

// say adds a reason, and the zones from which it holds.
func (d *draft) say(zone, what string, from []string) {
	if len(from) > 0 {
		d.why = append(d.why, zone+" "+what+" from "+strings.Join(from, ", "))
	}
}

func (d *draft) rows() []Seen {
	return slices.SortedFunc(maps.Values(d.set), order)
}

// after returns all rows as they will be.
func (d *draft) after() []Seen { return merged(d.base.Seen, d.rows()) }

// settle ends Leaving once all have heard: what has failed before is held.
func (w *Watch) settle(d *draft) {
	var left []string
	for _, r := range d.base.Seen {
		if r.Posture != Leaving || d.age(r.Since) < w.cfg.Settle {
			continue
		}
		next := Seen{From: r.From, To: r.To, Posture: Left, Fails: r.Fails}
		if hold := w.cfg.hold(r.Fails); hold > 0 {
			next.Posture, next.Until = Held, (d.now + hold).Milliseconds()
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
func (w *Watch) quiet(d *draft) {
	for _, r := range d.base.Seen {
		if r.Posture == Open && r.Share == 1 && d.age(r.Since) >= w.cfg.Quiet && d.seen(r.From, r.To) == r {
			if d.put(Seen{From: r.From, To: r.To, Share: 1}) {
				d.say(r.To, "has been quiet", []string{r.From})
			}
		}
	}
}
