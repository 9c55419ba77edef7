package flowtable

import "time"

// SilenceOptions say when an endpoint counts as silent.
type SilenceOptions struct {
	After     time.Duration // nothing was received from it for so long; 0 turns the check off
	Datagrams int           // and so many datagrams went unanswered, if it used to answer; 0 ignores answers
}

const (
	// minAnsweredShare is the share of datagrams that an endpoint must have answered for
	// missing answers to mean anything.
	minAnsweredShare = 0.5
	// minSampleDatagrams is how many datagrams it must have been sent before that share counts.
	minSampleDatagrams = 20
	// maxSampleDatagrams is where the sample is halved, so that the share follows changes.
	maxSampleDatagrams = 50 * minSampleDatagrams
)

// LivenessEvidence is what is known of an endpoint's liveness: its answers to flows, if it
// gives any, and to probes. Its zero value knows nothing.
type LivenessEvidence struct {
	// The sample: datagrams sent until the last answer, and answers.
	sent, answered float64

	unanswered      int // datagrams since the last answer
	unansweredSince time.Duration

	probeFailed   bool // no probe was answered since probeFailedAt
	probeFailedAt time.Duration
}

// Sent records a datagram to the endpoint.
func (e *LivenessEvidence) Sent(now time.Duration) {
	e.unanswered++
	if e.unanswered == 1 {
		e.unansweredSince = now
	}
}

// Received records an answer to a flow.
func (e *LivenessEvidence) Received() {
	e.sent += float64(e.unanswered)
	e.answered++
	e.unanswered = 0
	if e.sent > maxSampleDatagrams {
		e.sent /= 2
		e.answered /= 2
	}
}

// ProbeAnswered records whether the endpoint answered a probe.
func (e *LivenessEvidence) ProbeAnswered(now time.Duration, ok bool) {
	switch {
	case ok:
		e.probeFailed = false
	case !e.probeFailed:
		e.probeFailed, e.probeFailedAt = true, now
	}
}

// FlowsReplaced records that the endpoint's flows were moved elsewhere: their unanswered
// datagrams and failed probes no longer count, its answered share still does.
func (e *LivenessEvidence) FlowsReplaced() {
	e.unanswered = 0
	e.probeFailed = false
}

// IsSilent reports whether the endpoint's flows should be moved elsewhere. Answered probes
// don't save an endpoint that used to answer its flows: a hung one may still answer probes.
func (e *LivenessEvidence) IsSilent(now time.Duration, options SilenceOptions) bool {
	if options.After <= 0 {
		return false
	}
	if e.probeFailed && now-e.probeFailedAt >= options.After {
		return true
	}
	return options.Datagrams > 0 && e.usedToAnswer() &&
		e.unanswered >= options.Datagrams && now-e.unansweredSince >= options.After
}

func (e *LivenessEvidence) usedToAnswer() bool {
	return e.sent >= minSampleDatagrams && e.answered >= minAnsweredShare*e.sent
}
