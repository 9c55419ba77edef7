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

func (f Amounts) array() [shared]float64 {
	return [shared]float64{f.Connections, f.Setups, f.Retries, f.Probes}
}

func figuresOf(a [shared]float64) Amounts { return Amounts{a[0], a[1], a[2], a[3]} }

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
	mostPaths   = mostNodes + mostRoutes
	mostMembers = 1024
)

// Sound tells whether a word can be true: it comes from outside. One that can't is no word.
func (u *Usage) IsValid() bool {
	if u.Member == "" || len(u.Member) > 64 {
		return false
	}
	for _, m := range [3]map[string]Amounts{u.Used, u.UsedBefore, u.Demand} {
		if len(m) > mostPaths {
			return false
		}
		for _, f := range m {
			for _, x := range f.array() {
				if !(x >= 0 && x <= greatest) {
					return false
				}
			}
		}
	}
	return true
}

// spent returns what a member says, after a first half's end, to have spent in that half.
func (u *Usage) spent(first int64, end time.Duration) (map[string]Amounts, bool) {
	switch {
	case u.HalfEpoch == first && u.ReportedAt >= end:
		return u.Used, true
	case u.HalfEpoch == first+1:
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
	case c.FleetSize < 0 || c.FleetSize > mostMembers:
		return "full"
	}
	return ""
}

func (c LeaseConfig) half(now time.Duration) int64 { return int64(now / (c.Epoch / 2)) }

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
func (c LeaseConfig) whole(path string, i int, limit, epoch int64) int64 {
	millionths := times(limit, c.Epoch.Milliseconds(), 1)
	n := millionths / 1e6
	if int64(hash(path, uint64(i), uint64(epoch))%1e6) < millionths%1e6 {
		n++
	}
	return n
}

// even returns the tokens of one half of who has a place among n, by its even part alone.
// All n together have no more than half of the limit's for an epoch, and one.
func (c LeaseConfig) even(limit, half int64, place, n int) int64 {
	millionths, all := times(limit, c.Epoch.Milliseconds()/2, 1), int64(n)*1e6
	rest, h, phase := millionths%all, half%all, int64(place)*1e6
	return millionths/all + (rest*(h+1)+phase)/all - (rest*h+phase)/all
}

// part returns one of n places' part of some tokens. More tokens never mean fewer for any.
func part(tokens int64, place, n int) int64 {
	p := tokens / int64(n)
	if int64(place) < tokens%int64(n) {
		p++
	}
	return p
}

func ceil(x float64) int64 { return int64(math.Ceil(x)) }
