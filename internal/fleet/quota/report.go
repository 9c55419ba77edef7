package quota

import (
	"cmp"
	"time"
)

// Endpoint names one process of an endpoint.
type Endpoint struct {
	ID        string `json:"id"`
	StartedAt int64  `json:"started,omitempty"` // Unix ms; 0 for long ago
}

func compareEndpoints(a, b Endpoint) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.StartedAt, b.StartedAt))
}

// ZoneKey is the key under which session set-ups into a zone are allocated. It is no endpoint's:
// none started before 1970.
func ZoneKey(name string) Endpoint { return Endpoint{ID: name, StartedAt: -1} }

// Usage is what one member reports of one endpoint. Counters of attempts decay within seconds.
type Usage struct {
	Endpoint
	WarmingUp      bool    `json:"cold,omitempty"`
	Demand         float64 `json:"part,omitempty"`  // connections in an epoch, by this member's own traffic
	Spent          int     `json:"spent,omitempty"` // tokens of the report's period; never falls within it
	PriorSpent     int     `json:"prior,omitempty"` // all tokens of the period before
	Attempts       float64 `json:"asked,omitempty"` // sessions tried and failed health checks
	FailedAttempts float64 `json:"failed,omitempty"`
}

// Report is what one member reports. It replaces the member's earlier ones.
type Report struct {
	Member        string        `json:"member"`
	Incarnation   int64         `json:"boot"` // of its process: a later one replaces all
	Seq           uint64        `json:"seq"`
	ReportedAt    time.Duration `json:"at"`      // Unix time
	Period        int64         `json:"half"`    // that Spent is about
	FirstAttempts float64       `json:"firsts"`  // decays within seconds
	Retries       float64       `json:"retries"` // decays within seconds
	Usages        []Usage       `json:"uses,omitempty"`
}

// Bounds of what is accepted from other members.
const (
	maxEndpoints  = 4096
	maxMembers    = 1024
	maxNameBytes  = 64
	maxTokens     = 1e6
	maxDecayedSum = 1e9
)

// isNewerThan reports whether r replaces other: the greater in this order, so that merging is
// commutative, associative and idempotent.
func (r *Report) isNewerThan(other *Report) bool {
	return cmp.Or(cmp.Compare(r.Incarnation, other.Incarnation), cmp.Compare(r.Seq, other.Seq)) > 0
}

// isPlausible reports whether a report can be true: it comes from outside.
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
