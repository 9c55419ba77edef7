package zonestatus

import (
	"maps"
	"strings"
	"time"
)

// proposalTimeout is the time after which a proposed change that has not been committed is
// proposed again.
const proposalTimeout = time.Second

// Controller proposes changes on the member that leads the replicated log. It keeps only since when
// conditions have held and what it changed or proposed last. All else is in the replicated state,
// so the controller of a new leader can continue from there. It is not safe for concurrent use.
type Controller struct {
	DisabledGuards Guards

	cfg           Config
	conditions    map[condition]conditionSpan
	sentVersion   uint64 // version that results from the last proposed change
	sentAt        time.Duration
	shedChangedAt time.Duration
	committed     *State // the replicated state; set only by an IsolatedController
}

// conditionKind is a condition whose duration a controller tracks for a pair of zones.
type conditionKind byte

const (
	zoneUnavailable conditionKind = iota
	suspectRecovered
	zoneRecovered
	rampStepSucceeds
	rampStepEndsPartially
	rampStepFails
	rampStepSilent
	shareTooHigh
	shareTooLow
)

type condition struct {
	from, to string
	kind     conditionKind
}

type conditionSpan struct{ startedAt, lastSeenAt time.Duration }

// NewController returns a controller that has no evidence yet.
func NewController(cfg Config) *Controller {
	return &Controller{cfg: cfg.withDefaults(), conditions: map[condition]conditionSpan{}}
}

// Evaluate returns the next change to propose and the reason for it in words; ok is false if
// there is nothing to propose. now is Unix time. reports are all reports received by gossip,
// regardless of their age.
func (c *Controller) Evaluate(
	now time.Duration, state State, reports []Report, members []Member,
) (change Change, reason string, ok bool) {
	view := newFleetView(c.cfg, c.DisabledGuards, now, state, reports, members)
	if c.shedChangedAt == 0 {
		c.shedChangedAt = now
	}
	draft := newChangeDraft(now, state)
	c.evacuate(view, draft)
	c.finishEvacuations(draft)
	c.computeShed(view, draft)

	draft.deferrable = true
	isStable := draft.elapsedSince(draft.lastChangeAt) >= c.cfg.StableInterval
	draft.deferrableAllowed = isStable || c.DisabledGuards.RecoveryRamp
	c.startRecoveries(view, draft)
	c.advanceRecoveries(view, draft)
	c.limitPartialFailures(view, draft)
	c.resetFailures(draft)
	c.relaxShed(view, draft)

	maps.DeleteFunc(c.conditions, func(_ condition, span conditionSpan) bool { return span.lastSeenAt < now })
	isPending := c.sentVersion == state.Version+1 && now-c.sentAt < proposalTimeout
	if draft.isEmpty() || len(view.zones) == 0 || isPending {
		return Change{}, "", false
	}
	c.sentVersion, c.sentAt = state.Version+1, now
	if draft.shed != state.Shed {
		c.shedChangedAt = now
	}
	change = Change{BaseVersion: state.Version, Set: draft.changedPairs(), Zones: view.zones, Shed: draft.shed}
	return change, strings.Join(draft.reasons, "; "), true
}

// trackCondition records whether a condition holds now. It returns for how long the condition
// has held, or a negative value if it does not hold.
func (c *Controller) trackCondition(now time.Duration, from, to string, kind conditionKind, holds bool) time.Duration {
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

// resetFailures clears the failure counts of pairs that have been healthy and unchanged for
// the FailureResetInterval.
func (c *Controller) resetFailures(draft *changeDraft) {
	for _, pair := range draft.base.Pairs {
		isHealthy := pair.Status == Active && pair.Share == 1
		isOld := draft.elapsedSince(pair.ChangedAt) >= c.cfg.FailureResetInterval
		if !isHealthy || !isOld || draft.pair(pair.From, pair.To) != pair {
			continue
		}
		if draft.set(PairStatus{From: pair.From, To: pair.To, Share: 1}) {
			draft.addReason(pair.To, "has been quiet", []string{pair.From})
		}
	}
}
