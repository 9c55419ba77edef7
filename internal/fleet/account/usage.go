package account

import (
	"math"
	"time"
)

// Figures are counts of the four things that limits bound at run time.
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
	return Amounts{values[0], values[1], values[2], values[3]}
}

// Use is one member's word of what it uses, by the path of account, team or route. What a
// route uses its owner and all above use too.
type Usage struct {
	Member     string             `json:"member"`
	ReportedAt time.Duration      `json:"at"`             // Unix time
	HalfEpoch  int64              `json:"half"`           // half epoch that Used is about
	Used       map[string]Amounts `json:"used,omitempty"` // tokens of that half; Open is what stands
	UsedBefore map[string]Amounts `json:"prior,omitempty"`
	// Wanted is what it would have used in the half before, with what was refused; Open is
	// what would stand.
	Demand map[string]Amounts `json:"wanted,omitempty"`
}

const (
	maxUsagePaths = maxNodes + maxRoutes
	maxMembers    = 1024
)

// Sound tells whether a word can be true: it comes from outside. One that can't is no word.
func (u *Usage) IsValid() bool {
	if u.Member == "" || len(u.Member) > 64 {
		return false
	}
	for _, amountsByPath := range [3]map[string]Amounts{u.Used, u.UsedBefore, u.Demand} {
		if len(amountsByPath) > maxUsagePaths {
			return false
		}
		for _, amounts := range amountsByPath {
			for _, value := range amounts.values() {
				if !(value >= 0 && value <= maxLimit) {
					return false
				}
			}
		}
	}
	return true
}

// spent returns what a member says, after a first half's end, to have spent in that half.
func (u *Usage) spentIn(firstHalf int64, end time.Duration) (map[string]Amounts, bool) {
	switch {
	case u.HalfEpoch == firstHalf && u.ReportedAt >= end:
		return u.Used, true
	case u.HalfEpoch == firstHalf+1:
		return u.UsedBefore, true
	}
	return nil, false
}

// DealConfig is what all members are given alike.
type LeaseConfig struct {
	Epoch         time.Duration // rights are dealt for half of it at a time
	HolderTimeout time.Duration // who has gone silent keeps his rights for so long, and who has lost the record his
	// Full is how many members there are when all are well. Who counts half of them or fewer
	// as holders keeps to its even part of Full, so that of the sides of a cut one at most
	// deals the whole. 0 for no such rule.
	FleetSize int
}

// Check names the first key that can't be worked with.
func (c LeaseConfig) InvalidField() string {
	switch {
	case c.Epoch < 10*time.Millisecond || c.Epoch > time.Minute || c.Epoch%(2*time.Millisecond) != 0:
		return "epoch"
	case c.HolderTimeout < c.Epoch:
		return "hold"
	case c.FleetSize < 0 || c.FleetSize > maxMembers:
		return "full"
	}
	return ""
}

func (c LeaseConfig) halfEpoch(now time.Duration) int64 { return int64(now / (c.Epoch / 2)) }

// Rights are what a member may use within one half epoch. Every transaction counts on its
// route and on each level above, and needs room on all of them: siblings' rights may add up
// to more than their parent's.
type QuotaLease struct {
	HalfEpoch   int64              `json:"half"`
	ExpiresAt   time.Duration      `json:"until"` // Unix time of the half's end
	Allocated   map[string]Amounts `json:"paths"` // whole tokens of this half, and how many may stand; negative: no bound
	EvenShares  map[string]Amounts `json:"even"`  // this member's even part: a second, and how many may stand
	HolderRank  int                `json:"place"` // of this member among all, for the fractions of even parts
	HolderCount int                `json:"of"`
}

// whole returns a limit's tokens for an epoch, of which a fraction becomes one more in as
// many epochs.
func (c LeaseConfig) epochTokens(path string, kind int, limit, epoch int64) int64 {
	millionths := mulDiv(limit, c.Epoch.Milliseconds(), 1)
	tokens := millionths / 1e6
	if int64(hash(path, uint64(kind), uint64(epoch))%1e6) < millionths%1e6 {
		tokens++
	}
	return tokens
}

// even returns the tokens of one half of who has a place among n, by its even part alone.
// All n together have no more than half of the limit's for an epoch, and one.
func (c LeaseConfig) evenTokens(limit, halfEpoch int64, rank, count int) int64 {
	millionths, divisor := mulDiv(limit, c.Epoch.Milliseconds()/2, 1), int64(count)*1e6
	remainder, h, phase := millionths%divisor, halfEpoch%divisor, int64(rank)*1e6
	return millionths/divisor + (remainder*(h+1)+phase)/divisor - (remainder*h+phase)/divisor
}

// part returns one of n places' part of some tokens. More tokens never mean fewer for any.
func shareOf(tokens int64, rank, count int) int64 {
	share := tokens / int64(count)
	if int64(rank) < tokens%int64(count) {
		share++
	}
	return share
}

func ceilToken(x float64) int64 { return int64(math.Ceil(x)) }
