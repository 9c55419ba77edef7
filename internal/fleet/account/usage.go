package account

import (
	"math"
	"time"
)

// Amounts contains a value for each kind of limit that applies at run time.
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

// Usage is one member's report of its usage, by the path of an account, team or route. The usage of a
// route also counts for its owner and all levels above.
type Usage struct {
	Member     string             `json:"member"`
	ReportedAt time.Duration      `json:"at"`              // Unix time
	HalfEpoch  int64              `json:"half"`            // half epoch that Used refers to
	Used       map[string]Amounts `json:"used,omitempty"`  // tokens used in HalfEpoch; current connections
	UsedBefore map[string]Amounts `json:"prior,omitempty"` // tokens used in the preceding half epoch
	// Demand is the usage of the preceding half epoch including what was rejected: tokens, and the
	// connections that would be established.
	Demand map[string]Amounts `json:"wanted,omitempty"`
}

const (
	maxUsagePaths = maxNodes + maxRoutes
	maxMembers    = 1024
)

// IsValid reports whether all values of a report are possible. Reports come from other processes and
// are not trusted; an invalid one is ignored.
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
			if !(value >= 0 && value <= maxLimit) { // also true for NaN
				return false
			}
		}
	}
	return true
}

// spentInFirstHalf returns the amounts that a member spent in the half epoch firstHalf, and whether the
// report covers that half completely: it was made after its end.
func (u *Usage) spentInFirstHalf(firstHalf int64, end time.Duration) (map[string]Amounts, bool) {
	switch {
	case u.HalfEpoch == firstHalf && u.ReportedAt >= end:
		return u.Used, true
	case u.HalfEpoch == firstHalf+1:
		return u.UsedBefore, true
	}
	return nil, false
}

// isNewerThan reports whether u is newer than another report of the same member.
func (u *Usage) isNewerThan(other *Usage) bool {
	if u.HalfEpoch != other.HalfEpoch {
		return u.HalfEpoch > other.HalfEpoch
	}
	return u.ReportedAt > other.ReportedAt
}

// ceilTokens rounds an amount up to whole tokens.
func ceilTokens(amount float64) int64 { return int64(math.Ceil(amount)) }
