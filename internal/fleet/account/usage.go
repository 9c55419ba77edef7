package account

import (
	"math"
	"time"
)

// Amounts are the four things that limits bound at run time.
type Amounts struct {
	Connections float64 `json:"open,omitempty"`
	Setups      float64 `json:"rate,omitempty"`
	Retries     float64 `json:"retries,omitempty"`
	Probes      float64 `json:"probes,omitempty"`
}

func (a Amounts) values() [amountKinds]float64 {
	return [amountKinds]float64{a.Connections, a.Setups, a.Retries, a.Probes}
}

func amountsOf(values [amountKinds]float64) Amounts {
	return Amounts{
		Connections: values[connectionsKind],
		Setups:      values[setupsKind],
		Retries:     values[retriesKind],
		Probes:      values[probesKind],
	}
}

// Usage is one member's report of what it uses, by the path of account, team or route. What a
// route uses counts for its owner and for all levels above it too.
type Usage struct {
	Member     string             `json:"member"`
	ReportedAt time.Duration      `json:"at"`              // Unix time
	HalfEpoch  int64              `json:"half"`            // half epoch that Used is about
	Used       map[string]Amounts `json:"used,omitempty"`  // tokens of that half; connections now
	UsedBefore map[string]Amounts `json:"prior,omitempty"` // tokens of the half before
	// Demand is what it would have used in the half before, with what was rejected: tokens, and
	// connections that would be established.
	Demand map[string]Amounts `json:"wanted,omitempty"`
}

const (
	maxUsagePaths = maxNodes + maxRoutes
	maxMembers    = 1024
)

// IsValid tells whether a report can be true: it comes from outside. One that can't is ignored.
func (u *Usage) IsValid() bool {
	if u.Member == "" || len(u.Member) > maxLabelBytes {
		return false
	}
	return areValidAmounts(u.Used) && areValidAmounts(u.UsedBefore) && areValidAmounts(u.Demand)
}

func areValidAmounts(byPath map[string]Amounts) bool {
	if len(byPath) > maxUsagePaths {
		return false
	}
	for _, amounts := range byPath {
		for _, value := range amounts.values() {
			if !(value >= 0 && value <= maxLimit) { // not a number either
				return false
			}
		}
	}
	return true
}

// spentIn returns what a member reports, after a first half's end, to have spent in that half.
func (u *Usage) spentIn(firstHalf int64, end time.Duration) (map[string]Amounts, bool) {
	switch {
	case u.HalfEpoch == firstHalf && u.ReportedAt >= end:
		return u.Used, true
	case u.HalfEpoch == firstHalf+1:
		return u.UsedBefore, true
	}
	return nil, false
}

// isNewerThan orders the reports of one member.
func (u *Usage) isNewerThan(other *Usage) bool {
	if u.HalfEpoch != other.HalfEpoch {
		return u.HalfEpoch > other.HalfEpoch
	}
	return u.ReportedAt > other.ReportedAt
}

// ceilTokens returns the whole tokens that cover an amount.
func ceilTokens(amount float64) int64 { return int64(math.Ceil(amount)) }
