package flowtable

import "time"

// SilenceOptions say when a next hop counts as silent.
type SilenceOptions struct {
	After     time.Duration // nothing was heard of it for so long; 0 for never
	Datagrams int           // and so many went unanswered, where it used to answer
}

// habit is the share of datagrams that a next hop must have answered to be one that
// answers, and custom how many it must have been sent before that can be told.
const (
	minAnsweredShare   = 0.5
	minSampleDatagrams = 20
)

// Evidence is what speaks for a next hop being there: answers to flows, where it gives
// any, and to whatever else asks for its health. Its zero value has none yet.
type LivenessEvidence struct {
	sent, answered  float64 // until it was last heard of; halved now and then, as habits change
	unanswered      int     // sent since then
	unansweredSince time.Duration
	probeFailed     bool // nothing that asked for its health was answered since then
	probeFailedAt   time.Duration
}

// Sent notes a datagram to it.
func (e *LivenessEvidence) Sent(now time.Duration) {
	if e.unanswered++; e.unanswered == 1 {
		e.unansweredSince = now
	}
}

// Heard notes an answer to a flow.
func (e *LivenessEvidence) Received() {
	e.sent += float64(e.unanswered)
	e.answered++
	e.unanswered = 0
	if e.sent > 50*minSampleDatagrams {
		e.sent, e.answered = e.sent/2, e.answered/2
	}
}

// Asked notes whether it answered what asks for its health.
func (e *LivenessEvidence) ProbeAnswered(now time.Duration, ok bool) {
	switch {
	case ok:
		e.probeFailed = false
	case !e.probeFailed:
		e.probeFailed, e.probeFailedAt = true, now
	}
}

// Left notes that its flows have left it: what they were not answered is over with them,
// and whoever comes next finds out anew. Its habit stays known.
func (e *LivenessEvidence) FlowRemoved() { e.unanswered, e.probeFailed = 0, false }

// Silent tells whether it is to be left. That what asks for its health is answered does
// not save one that used to answer its flows: a hung one may do just that.
func (e *LivenessEvidence) IsSilent(now time.Duration, options SilenceOptions) bool {
	if options.After <= 0 {
		return false
	}
	if e.probeFailed && now-e.probeFailedAt >= options.After {
		return true
	}
	return options.Datagrams > 0 && e.unanswered >= options.Datagrams && now-e.unansweredSince >= options.After &&
		e.sent >= minSampleDatagrams && e.answered >= minAnsweredShare*e.sent
}
