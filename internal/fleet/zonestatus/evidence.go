package zonestatus

import "slices"

const (
	// minReporters is the number of members of an observing zone that must agree, if the zone
	// has as many.
	minReporters = 2
	// maxFailingForRecovery is the largest failing fraction at which a recovery is tried.
	maxFailingForRecovery = 0.6
)

// pairEvidence combines the observations that one zone's members have of another zone.
type pairEvidence struct {
	reporters          int     // members with a conclusive observation
	known              bool    // reporters reach the quorum
	unavailable        bool    // the zone serves no sessions from the observing zone
	failing            float64 // fraction of the zone's endpoints, median of the reporters
	receivers          int     // members whose endpoint lists include the zone; 0 below the quorum
	failingUnconfirmed float64 // like failing, but the median of all receivers
	attempts           float64 // sum over all members

	unavailableReports           int
	failingReported, failingSeen []float64 // one value per reporter and per receiver
}

// add adds one member's observation. members is the expected number of observations.
func (p *pairEvidence) add(cfg *Config, observation *Observation, members int) {
	if observation.Endpoints == 0 {
		return
	}
	if p.failingSeen == nil {
		p.failingReported, p.failingSeen = make([]float64, 0, members), make([]float64, 0, members)
	}
	p.attempts += observation.Attempts
	p.failingSeen = append(p.failingSeen, observation.failingFraction())
	if observation.isConclusive(cfg) {
		p.failingReported = append(p.failingReported, observation.failingFraction())
		if observation.isUnavailable(cfg) {
			p.unavailableReports++
		}
	}
}

// summarize computes the combined evidence from the added observations. A zone is unavailable if
// a quorum of members, and at least half of those with conclusive observations, observed it as
// unavailable. One false reporter is therefore never enough, and among many reporters half must
// be false.
func (p *pairEvidence) summarize(quorum int) {
	p.reporters, p.receivers = len(p.failingReported), len(p.failingSeen)
	p.known = p.reporters >= quorum
	p.failing, p.failingUnconfirmed = median(p.failingReported, 0), median(p.failingSeen, 0)
	p.unavailable = p.unavailableReports >= quorum &&
		(2*p.unavailableReports >= p.reporters || quorum < minReporters)
	if p.receivers < quorum {
		p.receivers = 0
	}
}

// seemsRecovered reports whether a quorum of members has endpoints of the zone in its lists, the
// zone is not unavailable, and at most maxFailingForRecovery of the endpoints fail.
func (p *pairEvidence) seemsRecovered() bool {
	return p.receivers > 0 && !p.unavailable && p.failingUnconfirmed <= maxFailingForRecovery
}

// median sorts values and returns the lower median, which is always a value that a member
// reported. It returns fallback if there are no values.
func median(values []float64, fallback float64) float64 {
	if len(values) == 0 {
		return fallback
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
