package zonestatus

import (
	"slices"
	"strings"
	"time"
)

// isolatedConfirmFactor multiplies the ConfirmInterval of an isolated member, because no other
// member confirms its observations.
const isolatedConfirmFactor = 3

// IsolatedController decides for a member that does not receive the replicated log. It keeps the
// last committed state and evacuates at most one more zone or region on the member's own evidence,
// and never the member's own zone. Its local evacuation is discarded on a new version of the
// state and after a pause between calls. It is not safe for concurrent use.
type IsolatedController struct {
	DisabledGuards Guards

	cfg             Config
	controller      *Controller
	committed       State // the replicated state
	local           State // the committed state with the local changes applied
	lastEvaluatedAt time.Duration
}

// NewIsolatedController returns a controller that has no evidence yet.
func NewIsolatedController(cfg Config) *IsolatedController {
	cfg = cfg.withDefaults()
	cfg.ConfirmInterval *= isolatedConfirmFactor
	return &IsolatedController{cfg: cfg}
}

// Evaluate returns the limits on the traffic from the member's zone to other zones, sorted by
// zone. They are never looser than those of the committed state. now is Unix time.
func (c *IsolatedController) Evaluate(now time.Duration, state State, report Report) []TrafficLimit {
	hasPaused := now-c.lastEvaluatedAt > c.cfg.ReportTTL || now < c.lastEvaluatedAt
	if c.controller == nil || state.Version != c.committed.Version || hasPaused {
		c.controller, c.committed, c.local = NewController(c.cfg), state, state
		c.controller.committed = &c.committed
	}
	c.lastEvaluatedAt = now
	c.controller.DisabledGuards = c.DisabledGuards
	self := Member{Name: report.Member, Zone: report.Zone, Alive: true}
	if change, _, ok := c.controller.Evaluate(now, c.local, []Report{report}, []Member{self}); ok {
		if next, err := c.local.Apply(c.cfg, change); err == nil {
			c.local = next
		}
	}
	return strictest(state.TrafficLimits(report.Zone), c.local.TrafficLimits(report.Zone))
}

// strictest merges two lists of limits. For a zone in both lists it returns the limit with the
// lower share.
func strictest(limits, added []TrafficLimit) []TrafficLimit {
	for _, limit := range added {
		index := slices.IndexFunc(limits, func(other TrafficLimit) bool { return other.Zone == limit.Zone })
		switch {
		case index < 0:
			limits = append(limits, limit)
		case limit.Share < limits[index].Share:
			limits[index] = limit
		}
	}
	slices.SortFunc(limits, func(a, b TrafficLimit) int { return strings.Compare(a.Zone, b.Zone) })
	return limits
}

// limitToOneUnit limits an isolated member's candidates to one zone or region that the committed
// state has not evacuated. If the member has already evacuated one, only zones of the same region
// remain.
func (c *Controller) limitToOneUnit(view *fleetView, draft *changeDraft, from int, candidates []int) []int {
	observer, currentUnit := view.zones[from], ""
	for _, pair := range draft.base.Pairs {
		if pair.From == observer && isLocalEvacuation(c.committed.pair(observer, pair.To).Status, pair.Status) {
			currentUnit = c.cfg.unitOf(pair.To)
		}
	}
	return slices.DeleteFunc(slices.Clone(candidates), func(to int) bool {
		zone := view.zones[to]
		if to == from || c.committed.pair(observer, zone).Status.isEvacuated() {
			return true
		}
		if currentUnit == "" {
			currentUnit = c.cfg.unitOf(zone)
		}
		return c.cfg.unitOf(zone) != currentUnit
	})
}

// isLocalEvacuation reports whether a zone is evacuated, or recovering from an evacuation, only
// in the local state and not in the committed one.
func isLocalEvacuation(committed, local Status) bool {
	if committed.isEvacuated() {
		return false
	}
	return local.isEvacuated() || local == Recovering && committed != Recovering
}

// unitOf returns the unit that a zone is evacuated with: its region, or the zone itself if it
// belongs to no region.
func (c Config) unitOf(zone string) string {
	if region := c.RegionOf(zone); region != "" {
		return "region " + region
	}
	return zone
}
