package zonestatus

import (
	"slices"
	"time"
)

// Alone is the decider of a member that does not hear the record: it keeps to the last
// committed state, and leaves more by its own evidence, one zone or region at most and
// never its own. It goes back to the record's word as soon as it hears: a new version of
// the state, or a pause in the calls, makes it forget. It is not safe for concurrent use.
type IsolatedController struct {
	DisabledGuards Guards

	cfg   Config
	watch *Controller
	base  State // the record's
	own   State // and what this member has added
	last  time.Duration
}

// witnesses is how many times Confirm one member waits, as nobody agrees with it.
const witnesses = 3

// NewAlone returns the decider of a member that has seen nothing yet.
func NewIsolatedController(cfg Config) *IsolatedController {
	cfg = cfg.full()
	cfg.ConfirmInterval *= witnesses
	return &IsolatedController{cfg: cfg}
}

// Step returns what a node of the member's zone may send others: never more than the
// state says.
func (a *IsolatedController) Evaluate(now time.Duration, s State, own Report) []TrafficLimit {
	if a.watch == nil || s.Version != a.base.Version || now-a.last > a.cfg.ReportTTL || now < a.last {
		a.watch, a.base, a.own = NewController(a.cfg), s, s
		a.watch.alone = &a.base
	}
	a.last = now
	a.watch.DisabledGuards = a.DisabledGuards
	c, _, ok := a.watch.Evaluate(now, a.own, []Report{own}, []Member{{Name: own.Member, Zone: own.Zone, Alive: true}})
	if ok {
		if next, err := a.own.Apply(a.cfg, c); err == nil {
			a.own = next
		}
	}
	all := s.TrafficLimits(own.Zone)
	for _, b := range a.own.TrafficLimits(own.Zone) {
		i := slices.IndexFunc(all, func(o TrafficLimit) bool { return o.Zone == b.Zone })
		switch {
		case i < 0:
			all = append(all, b)
		case b.Share < all[i].Share:
			all[i] = b
		}
	}
	slices.SortFunc(all, func(x, y TrafficLimit) int { return order(PairStatus{From: x.Zone}, PairStatus{From: y.Zone}) })
	return all
}

// oneUnit keeps, of what a member alone would leave, one zone or region that the record
// has not left, or none if it has one already.
func (w *Controller) oneUnit(v *view, d *draft, from int, accused []int) []int {
	unit := func(z string) string {
		if r := w.cfg.RegionOf(z); r != "" {
			return "region " + r
		}
		return z
	}
	own, has := v.zones[from], ""
	for _, r := range d.base.Pairs {
		word := w.alone.seen(own, r.To).Status
		if r.From == own && !word.gone() && (r.Status.gone() || r.Status == Recovering && word != Recovering) {
			has = unit(r.To)
		}
	}
	return slices.DeleteFunc(slices.Clone(accused), func(to int) bool {
		z := v.zones[to]
		if to == from || w.alone.seen(own, z).Status.gone() {
			return true
		}
		if has == "" {
			has = unit(z)
		}
		return unit(z) != has
	})
}
