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

	cfg             Config
	controller      *Controller
	committed       State // the record's
	local           State // and what this member has added
	lastEvaluatedAt time.Duration
}

// witnesses is how many times Confirm one member waits, as nobody agrees with it.
const isolatedConfirmFactor = 3

// NewAlone returns the decider of a member that has seen nothing yet.
func NewIsolatedController(cfg Config) *IsolatedController {
	cfg = cfg.withDefaults()
	cfg.ConfirmInterval *= isolatedConfirmFactor
	return &IsolatedController{cfg: cfg}
}

// Step returns what a node of the member's zone may send others: never more than the
// state says.
func (a *IsolatedController) Evaluate(now time.Duration, s State, own Report) []TrafficLimit {
	if a.controller == nil || s.Version != a.committed.Version || now-a.lastEvaluatedAt > a.cfg.ReportTTL || now < a.lastEvaluatedAt {
		a.controller, a.committed, a.local = NewController(a.cfg), s, s
		a.controller.committed = &a.committed
	}
	a.lastEvaluatedAt = now
	a.controller.DisabledGuards = a.DisabledGuards
	c, _, ok := a.controller.Evaluate(now, a.local, []Report{own}, []Member{{Name: own.Member, Zone: own.Zone, Alive: true}})
	if ok {
		if next, err := a.local.Apply(a.cfg, c); err == nil {
			a.local = next
		}
	}
	all := s.TrafficLimits(own.Zone)
	for _, b := range a.local.TrafficLimits(own.Zone) {
		i := slices.IndexFunc(all, func(o TrafficLimit) bool { return o.Zone == b.Zone })
		switch {
		case i < 0:
			all = append(all, b)
		case b.Share < all[i].Share:
			all[i] = b
		}
	}
	slices.SortFunc(all, func(x, y TrafficLimit) int { return comparePairs(PairStatus{From: x.Zone}, PairStatus{From: y.Zone}) })
	return all
}

// oneUnit keeps, of what a member alone would leave, one zone or region that the record
// has not left, or none if it has one already.
func (w *Controller) limitToOneUnit(v *fleetView, d *changeDraft, from int, accused []int) []int {
	unit := func(z string) string {
		if r := w.cfg.RegionOf(z); r != "" {
			return "region " + r
		}
		return z
	}
	own, has := v.zones[from], ""
	for _, r := range d.base.Pairs {
		word := w.committed.pair(own, r.To).Status
		if r.From == own && !word.isEvacuated() && (r.Status.isEvacuated() || r.Status == Recovering && word != Recovering) {
			has = unit(r.To)
		}
	}
	return slices.DeleteFunc(slices.Clone(accused), func(to int) bool {
		z := v.zones[to]
		if to == from || w.committed.pair(own, z).Status.isEvacuated() {
			return true
		}
		if has == "" {
			has = unit(z)
		}
		return unit(z) != has
	})
}
