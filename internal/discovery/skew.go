package discovery

import (
	"time"

	"coralrelay/balance"
)

const (
	// skewTolerance is how far two readings of the service's clock may differ before the later one is
	// believed: dates in a header count whole seconds, and answers take their time.
	skewTolerance = 3 * time.Second
	// maxStartDelay is how old a start is at most that a live watch reports: a list is seconds late.
	maxStartDelay = 30 * time.Second
	// lateStartsNeeded is how many starts must seem older than that, and none younger, until this
	// process's clock is held to be ahead: single ones may have been kept out of the list for a while.
	lateStartsNeeded = 3
)

// clockSkew estimates by how much this process's clock is ahead of the one by which starts are dated: a process may
// start while its wall clock is wrong. It is 0 until something contradicts that.
//
// The date of a header is the service's, which may be wrong too. One that makes endpoints younger is believed until it
// would put a start into the future. One that makes them older could have an endpoint that warms up pass for a warm one,
// and is believed only once a start lies in this process's own future and is recent by the date.
type clockSkew struct {
	ahead      time.Duration
	byDate     bool           // ahead is what a date says
	dated      *time.Duration // what the latest date says; nil for none
	lateStarts int            // in a row
	leastAge   time.Duration  // of these
}

// observeDate takes the date of a response's header, which came at now.
func (s *clockSkew) observeDate(now, date time.Time) {
	ahead := now.Sub(date)
	s.dated = &ahead
	if difference := ahead - s.ahead; difference.Abs() > skewTolerance && ahead > -skewTolerance {
		s.ahead, s.byDate, s.lateStarts = ahead, true, 0
	}
}

// observeStart takes the start of an endpoint that was reported at now. isNew is set if a live watch
// has reported a start that was not known.
func (s *clockSkew) observeStart(now, startedAt time.Time, isNew bool) {
	age := now.Sub(startedAt) - s.ahead
	switch {
	case age < -skewTolerance: // nothing has started after now
		s.correctFuture(now.Sub(startedAt))
	case !isNew:
	case age <= maxStartDelay:
		s.lateStarts = 0
	default:
		if s.lateStarts == 0 || age < s.leastAge {
			s.leastAge = age
		}
		if s.lateStarts++; s.lateStarts == lateStartsNeeded {
			s.ahead, s.lateStarts = s.ahead+s.leastAge, 0
		}
	}
}

// correctFuture corrects the estimate by a start that would lie in the future. age is that start's by this process's
// clock.
func (s *clockSkew) correctFuture(age time.Duration) {
	wasByDate := s.byDate
	s.byDate, s.lateStarts = false, 0
	switch {
	case wasByDate && age >= -skewTolerance: // the date is wrong, and this process's clock need not be
		s.ahead = 0
	case s.dated != nil && age-*s.dated >= -skewTolerance && age-*s.dated <= maxStartDelay:
		s.ahead, s.byDate = *s.dated, true
	default:
		s.ahead = age
	}
}

// toLocal converts a time by the service's clock, since 1970, to this process's clock.
func (s *clockSkew) toLocal(startedAt time.Duration) time.Duration {
	if startedAt <= 0 {
		return startedAt
	}
	return startedAt + s.ahead
}

// startDates converts the starts of endpoints to this process's clock.
type startDates struct {
	skew  clockSkew
	known map[string]time.Duration // by endpoint, as the service dates them; without those of long ago
}

// convert converts the starts of a message that came at now. isLive is set if the message is a change on
// a watch that was up to date before it. What a complete list does not name is forgotten.
func (d *startDates) convert(now time.Time, update *Update, isLive bool) {
	before := d.known
	if update.Kind != balance.ListDelta {
		d.known = map[string]time.Duration{}
	}
	for i := range update.Endpoints {
		d.observe(now, &update.Endpoints[i], before, isLive)
	}
	for i := range update.Endpoints {
		update.Endpoints[i].StartedAt = d.skew.toLocal(update.Endpoints[i].StartedAt)
	}
}

// observe learns from the start of one endpoint, beside those that were known before the message.
func (d *startDates) observe(now time.Time, endpoint *Endpoint, before map[string]time.Duration, isLive bool) {
	known, isKnown := before[endpoint.ID]
	if endpoint.State == balance.Gone || endpoint.StartedAt <= 0 {
		delete(d.known, endpoint.ID)
		return
	}
	isNew := isLive && (!isKnown || known != endpoint.StartedAt)
	d.skew.observeStart(now, time.Unix(0, int64(endpoint.StartedAt)), isNew)
	d.known[endpoint.ID] = endpoint.StartedAt
}
