package zonestatus

import "slices"

const (
	// minReporters is how many members of an observing zone must agree, if it has as many.
	minReporters = 2
	// maxFailingForRecovery is the failing fraction up to which recovery is tried.
	maxFailingForRecovery = 0.6
)

// pairEvidence is what one zone's members together observe of another zone.
type pairEvidence struct {
	reporters          int     // members whose observation is conclusive
	known              bool    // reporters reach the quorum
	unavailable        bool    // the zone serves nobody from here
	failing            float64 // fraction of its endpoints, the median of the reporters
	receivers          int     // members whose endpoint lists name any; 0 below the quorum
	failingUnconfirmed float64 // as failing, but the median of all receivers
	attempts           float64 // by all of them together

	unavailableReports           int
	failingReported, failingSeen []float64 // by reporters, by receivers
}

// add counts one member's observation; members is how many there may be.
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

// summarize turns the counts into what is known. A zone is unavailable if a quorum of members,
// and half of those with conclusive observations, were served nothing: one false reporter is
// never enough, and among many it takes half.
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

// seemsRecovered reports whether members know endpoints in the zone and no more than some fail.
func (p *pairEvidence) seemsRecovered() bool {
	return p.receivers > 0 && !p.unavailable && p.failingUnconfirmed <= maxFailingForRecovery
}

// median sorts the values and returns the lower median, which is one that a member reported,
// or fallback if there is none.
func median(values []float64, fallback float64) float64 {
	if len(values) == 0 {
		return fallback
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
