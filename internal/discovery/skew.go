package discovery

import (
	"time"

	"coralrelay/balance"
)

const (
	// skewTolerance is the greatest difference between two readings of the service's clock for
	// which the earlier one is kept: the Date of a header counts whole seconds, and responses take
	// time to arrive.
	skewTolerance = 3 * time.Second
	// maxStartDelay is the greatest age that an endpoint's start is expected to have when a live
	// watch reports it: lists arrive seconds late.
	maxStartDelay = 30 * time.Second
	// minLateStarts is how many consecutive starts must seem older than maxStartDelay before the
	// local clock is taken to be ahead: a single endpoint may have been kept out of the list for a
	// while.
	minLateStarts = 3
)

// clockSkew estimates how far the local clock is ahead of the clock that dates the starts of
// endpoints, as a process may start while its wall clock is wrong. The estimate is 0 until an
// observation contradicts that.
//
// The Date of a response header is read from the service's clock, which may be wrong too. A Date
// that makes endpoints younger is accepted until it would place a start in the future. A Date that
// makes endpoints older could end the slow start of an endpoint too early, and is accepted only
// once a start lies in the future by the local clock and is recent by that Date.
type clockSkew struct {
	ahead         time.Duration
	aheadFromDate bool           // ahead was taken from a Date
	dateAhead     *time.Duration // the skew by the latest Date; nil if there was none
	lateStarts    int            // consecutive late starts
	minLateAge    time.Duration  // the least age among the consecutive late starts
}

// observeDate takes the Date of a response header that arrived at now.
func (s *clockSkew) observeDate(now, date time.Time) {
	ahead := now.Sub(date)
	s.dateAhead = &ahead
	if difference := ahead - s.ahead; difference.Abs() > skewTolerance && ahead > -skewTolerance {
		s.ahead, s.aheadFromDate, s.lateStarts = ahead, true, 0
	}
}

// observeStart takes the start of an endpoint that was reported at now. isNew is set if a live
// watch has reported a start that was not known before.
func (s *clockSkew) observeStart(now, startedAt time.Time, isNew bool) {
	age := now.Sub(startedAt) - s.ahead
	switch {
	case age < -skewTolerance: // an endpoint cannot start after now
		s.correctFuture(now.Sub(startedAt))
	case !isNew:
	case age <= maxStartDelay:
		s.lateStarts = 0
	default:
		if s.lateStarts == 0 || age < s.minLateAge {
			s.minLateAge = age
		}
		if s.lateStarts++; s.lateStarts == minLateStarts {
			s.ahead, s.lateStarts = s.ahead+s.minLateAge, 0
		}
	}
}

// correctFuture corrects the estimate by a start that would lie in the future. age is the age of
// that start by the local clock.
func (s *clockSkew) correctFuture(age time.Duration) {
	wasFromDate := s.aheadFromDate
	s.aheadFromDate, s.lateStarts = false, 0
	switch {
	case wasFromDate && age >= -skewTolerance: // the Date is wrong, and the local clock need not be
		s.ahead = 0
	case s.dateAhead != nil && age-*s.dateAhead >= -skewTolerance && age-*s.dateAhead <= maxStartDelay:
		s.ahead, s.aheadFromDate = *s.dateAhead, true
	default:
		s.ahead = age
	}
}

// toLocal converts a time since 1970, as read from the service's clock, to the local clock.
func (s *clockSkew) toLocal(startedAt time.Duration) time.Duration {
	if startedAt <= 0 {
		return startedAt
	}
	return startedAt + s.ahead
}

// startTimeConverter converts the start times of endpoints to the local clock.
type startTimeConverter struct {
	skew  clockSkew
	known map[string]time.Duration // by endpoint ID, in the service's time; without 0, which is long ago
}

// convert converts the start times of a message that arrived at now. isLive is set if the message
// is a change on a watch that was up to date before it. Endpoints that a complete list does not
// name are removed from known.
func (c *startTimeConverter) convert(now time.Time, update *Update, isLive bool) {
	knownBefore := c.known
	if update.Kind != balance.ListDelta {
		c.known = map[string]time.Duration{}
	}
	for i := range update.Endpoints {
		c.observe(now, &update.Endpoints[i], knownBefore, isLive)
	}
	for i := range update.Endpoints {
		update.Endpoints[i].StartedAt = c.skew.toLocal(update.Endpoints[i].StartedAt)
	}
}

// observe updates the estimate by the start of one endpoint. knownBefore has the start times that
// were known before the message.
func (c *startTimeConverter) observe(now time.Time, endpoint *Endpoint, knownBefore map[string]time.Duration,
	isLive bool) {
	known, wasKnown := knownBefore[endpoint.ID]
	if endpoint.State == balance.Gone || endpoint.StartedAt <= 0 {
		delete(c.known, endpoint.ID)
		return
	}
	isNew := isLive && (!wasKnown || known != endpoint.StartedAt)
	c.skew.observeStart(now, time.Unix(0, int64(endpoint.StartedAt)), isNew)
	c.known[endpoint.ID] = endpoint.StartedAt
}
