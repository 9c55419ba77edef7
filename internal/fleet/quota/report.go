package quota

import (
	"cmp"
	"time"
)

// Endpoint identifies one process of an endpoint.
type Endpoint struct {
	ID        string `json:"id"`
	StartedAt int64  `json:"started,omitempty"` // Unix time in ms; 0 if it started long ago
}

func compareEndpoints(a, b Endpoint) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.StartedAt, b.StartedAt))
}

// ZoneKey returns the key under which session set-ups into a zone are allocated. Its negative
// StartedAt keeps it distinct from every endpoint: no endpoint started before 1970.
func ZoneKey(name string) Endpoint { return Endpoint{ID: name, StartedAt: -1} }

// Usage is one member's report about one endpoint. The counters of attempts decay within seconds.
type Usage struct {
	Endpoint
	WarmingUp      bool    `json:"cold,omitempty"`
	Demand         float64 `json:"part,omitempty"`  // connections per epoch for the member's own traffic
	Spent          int     `json:"spent,omitempty"` // tokens spent in Report.Period; never decreases in it
	PriorSpent     int     `json:"prior,omitempty"` // tokens spent in the preceding period
	Attempts       float64 `json:"asked,omitempty"` // session attempts and failed health checks
	FailedAttempts float64 `json:"failed,omitempty"`
}

// Report holds one member's usage of endpoints and its recent first attempts and retries. It
// replaces the member's earlier reports.
type Report struct {
	Member        string        `json:"member"`
	Incarnation   int64         `json:"boot"` // incarnation of the process; a later one replaces all reports
	Seq           uint64        `json:"seq"`
	ReportedAt    time.Duration `json:"at"`      // Unix time
	Period        int64         `json:"half"`    // period that Usage.Spent refers to
	FirstAttempts float64       `json:"firsts"`  // decays within seconds
	Retries       float64       `json:"retries"` // decays within seconds
	Usages        []Usage       `json:"uses,omitempty"`
}

// Bounds of what is accepted from other members. A report that exceeds them is rejected; beyond
// maxMembers, no member is added.
const (
	maxEndpoints  = 4096
	maxMembers    = 1024
	maxNameBytes  = 64
	maxTokens     = 1e6
	maxDecayedSum = 1e9
)

// isNewerThan reports whether r replaces other. Reports are ordered by Incarnation, then Seq, and the
// greater one is kept, so that merging is commutative, associative and idempotent.
func (r *Report) isNewerThan(other *Report) bool {
	return cmp.Or(cmp.Compare(r.Incarnation, other.Incarnation), cmp.Compare(r.Seq, other.Seq)) > 0
}

// isPlausible reports whether all values of a report are possible. Reports come from other processes
// and are not trusted.
func (r *Report) isPlausible() bool {
	switch {
	case r.Member == "" || len(r.Member) > maxNameBytes:
		return false
	case len(r.Usages) > maxEndpoints:
		return false
	case !isPlausibleSum(r.FirstAttempts) || !isPlausibleSum(r.Retries):
		return false
	}
	for i := range r.Usages {
		if !r.Usages[i].isPlausible() {
			return false
		}
	}
	return true
}

func (u *Usage) isPlausible() bool {
	return u.ID != "" &&
		isPlausibleSum(u.Demand) &&
		isPlausibleTokens(u.Spent) &&
		isPlausibleTokens(u.PriorSpent) &&
		isPlausibleSum(u.Attempts) &&
		isPlausibleSum(u.FailedAttempts)
}

func isPlausibleSum(x float64) bool { return x >= 0 && x <= maxDecayedSum }

func isPlausibleTokens(tokens int) bool { return tokens >= 0 && tokens <= maxTokens }
