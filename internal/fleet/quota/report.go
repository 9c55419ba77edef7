// Package share decides how much of a budget that the whole fleet keeps a node may spend
// now, given what its peers report and how old that is. It does no I/O, reads no clock and
// starts no goroutine: reports and times come in, grants go out.
//
// Three things are shared. A cold next hop's budget is dealt in whole tokens for half an
// epoch at a time, to ranks that all members reckon alike by rendezvous hashing (Thaler and
// Ravishankar, 1998), so that no message is needed to keep within it; what was reported as
// not spent in the first half is dealt again in the second, as rights pass hands in a
// bounded counter (Balegas et al., 2015). A verdict on a next hop needs the word of several
// members. A budget of retries follows first tries (as Finagle's and gRPC's, RFC A6), and a
// part of what others have left may be borrowed. docs/notes/fleet-limits.md derives the
// bounds.
package quota

import (
	"cmp"
	"slices"
	"time"
)

// Config is what all members are given alike.
type Config struct {
	Epoch              time.Duration // a cold next hop's window; its budget is dealt for so long
	LeaseTimeout       time.Duration // who has gone silent keeps his tokens for so long
	ReportTTL          time.Duration // an accusation or a retry count counts for so long
	RetryRatio         float64       // retries allowed for a first try
	MaxOutlierFraction float64       // share of the next hops that verdicts may cover at most
}

// Check names the first key that can't be worked with.
func (c Config) InvalidKey() string {
	switch {
	case c.Epoch < 10*time.Millisecond:
		return "epoch"
	case c.LeaseTimeout < c.Epoch:
		return "hold"
	case c.ReportTTL <= 0:
		return "fresh"
	case !(c.RetryRatio >= 0 && c.RetryRatio <= 10):
		return "retries"
	case !(c.MaxOutlierFraction >= 0 && c.MaxOutlierFraction <= 1):
		return "shun"
	}
	return ""
}

// Half is the number of the half epoch in which now lies, and when it begins and ends.
// Even halves are the first of their epoch.
func (c Config) Period(now time.Duration) (period int64, begin, end time.Duration) {
	duration := c.Epoch / 2
	period = int64(now / duration)
	return period, time.Duration(period) * duration, time.Duration(period+1) * duration
}

// mostServers and mostMembers bound what is kept of others' words.
const maxEndpoints, maxMembers = 4096, 1024

// Guards can be taken out one by one, so that a rig can show that its checks see it.
type Guards struct {
	RankedAllocation bool // deal by everyone's own reckoning: each takes the whole
	LeaseExpiry      bool // never forget who has failed
	Quorum           bool // one accuser is enough
	RetryBudget      bool // no bound on retries
}

// Server names one process of a next hop.
type Endpoint struct {
	ID        string `json:"id"`
	StartedAt int64  `json:"started,omitempty"` // Unix milliseconds; 0 for long ago
}

// Use is what one member says of one next hop.
type Usage struct {
	Endpoint
	WarmingUp      bool    `json:"cold,omitempty"`
	Demand         float64 `json:"part,omitempty"`   // of the budget for an epoch, by this member's traffic alone; connections
	Spent          int     `json:"spent,omitempty"`  // of the tokens of the report's half; never falls within it
	PriorSpent     int     `json:"prior,omitempty"`  // of those of the half before, all told
	Attempts       float64 `json:"asked,omitempty"`  // branches and failed probes of late
	FailedAttempts float64 `json:"failed,omitempty"` // of them, those that failed
}

// Report is one member's word, and replaces its earlier ones.
type Report struct {
	Member        string        `json:"member"`
	Incarnation   int64         `json:"boot"` // of its process; a later one replaces all
	Seq           uint64        `json:"seq"`
	ReportedAt    time.Duration `json:"at"`   // Unix time
	Period        int64         `json:"half"` // that Spent is about
	FirstAttempts float64       `json:"firsts"`
	Retries       float64       `json:"retries"` // both of late, fading
	Usages        []Usage       `json:"uses,omitempty"`
}

// newer tells whether r replaces o: the greater in this order, so that merging is
// commutative, associative and idempotent.
func (r *Report) isNewerThan(other *Report) bool {
	return cmp.Or(cmp.Compare(r.Incarnation, other.Incarnation), cmp.Compare(r.Seq, other.Seq)) > 0
}

// sound tells whether a report can be true: it comes from outside.
func (r *Report) isPlausible() bool {
	isCount := func(x float64) bool { return x >= 0 && x <= 1e9 }
	return r.Member != "" && len(r.Member) <= 64 && len(r.Usages) <= maxEndpoints && isCount(r.FirstAttempts) && isCount(r.Retries) &&
		!slices.ContainsFunc(r.Usages, func(usage Usage) bool {
			return usage.ID == "" || !isCount(usage.Demand) || usage.Spent < 0 || usage.Spent > 1e6 || usage.PriorSpent < 0 || usage.PriorSpent > 1e6 || !isCount(usage.Attempts) || !isCount(usage.FailedAttempts)
		})
}
