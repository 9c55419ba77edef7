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
func (c *IsolatedController) Evaluate(now time.Duration, state State, report Report) []TrafficLimit {
	if c.controller == nil || state.Version != c.committed.Version || now-c.lastEvaluatedAt > c.cfg.ReportTTL || now < c.lastEvaluatedAt {
		c.controller, c.committed, c.local = NewController(c.cfg), state, state
		c.controller.committed = &c.committed
	}
	c.lastEvaluatedAt = now
	c.controller.DisabledGuards = c.DisabledGuards
	change, _, ok := c.controller.Evaluate(now, c.local, []Report{report}, []Member{{Name: report.Member, Zone: report.Zone, Alive: true}})
	if ok {
		if next, err := c.local.Apply(c.cfg, change); err == nil {
			c.local = next
		}
	}
	limits := state.TrafficLimits(report.Zone)
	for _, limit := range c.local.TrafficLimits(report.Zone) {
		index := slices.IndexFunc(limits, func(other TrafficLimit) bool { return other.Zone == limit.Zone })
		switch {
		case index < 0:
			limits = append(limits, limit)
		case limit.Share < limits[index].Share:
			limits[index] = limit
		}
	}
	slices.SortFunc(limits, func(x, y TrafficLimit) int { return comparePairs(PairStatus{From: x.Zone}, PairStatus{From: y.Zone}) })
	return limits
}

// oneUnit keeps, of what a member alone would leave, one zone or region that the record
// has not left, or none if it has one already.
func (c *Controller) limitToOneUnit(view *fleetView, draft *changeDraft, from int, candidates []int) []int {
	unitOf := func(zone string) string {
		if pair := c.cfg.RegionOf(zone); pair != "" {
			return "region " + pair
		}
		return zone
	}
	observer, currentUnit := view.zones[from], ""
	for _, pair := range draft.base.Pairs {
		recorded := c.committed.pair(observer, pair.To).Status
		if pair.From == observer && !recorded.isEvacuated() && (pair.Status.isEvacuated() || pair.Status == Recovering && recorded != Recovering) {
			currentUnit = unitOf(pair.To)
		}
	}
	return slices.DeleteFunc(slices.Clone(candidates), func(to int) bool {
		zone := view.zones[to]
		if to == from || c.committed.pair(observer, zone).Status.isEvacuated() {
			return true
		}
		if currentUnit == "" {
			currentUnit = unitOf(zone)
		}
		return unitOf(zone) != currentUnit
	})
}
