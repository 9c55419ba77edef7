package account

import "time"

// Bounds of LeaseConfig.Epoch, which is a whole number of epochSteps.
const (
	minEpoch  = 10 * time.Millisecond
	maxEpoch  = time.Minute
	epochStep = 2 * time.Millisecond // halves are whole milliseconds
)

// million is what a token is divided into where fractions of tokens are carried.
const million = 1e6

// LeaseConfig is how limits are allocated. All members have it alike.
type LeaseConfig struct {
	// Epoch is the time that a limit's tokens are computed for. A lease is for half of it.
	Epoch time.Duration
	// HolderTimeout is how long a member that has gone silent counts as a lease holder, and how
	// long one that has lost the replicated log keeps its part.
	HolderTimeout time.Duration
	// FleetSize is how many members there are when all are well. A member that sees half of them
	// or fewer as holders keeps to its even share of FleetSize, so that in a network partition one
	// side at most allocates the whole limits. 0 switches this rule off.
	FleetSize int
}

// InvalidField names the first field that has an invalid value, as the operator's file calls it.
func (c LeaseConfig) InvalidField() string {
	switch {
	case c.Epoch < minEpoch || c.Epoch > maxEpoch || c.Epoch%epochStep != 0:
		return "epoch"
	case c.HolderTimeout < c.Epoch:
		return "hold"
	case c.FleetSize < 0 || c.FleetSize > maxMembers:
		return "full"
	}
	return ""
}

func (c LeaseConfig) halfEpoch(now time.Duration) int64 { return int64(now / (c.Epoch / 2)) }

// halfStart returns when a half epoch begins, in Unix time.
func (c LeaseConfig) halfStart(halfEpoch int64) time.Duration {
	return time.Duration(halfEpoch) * (c.Epoch / 2)
}

// QuotaLease is what a member may use within one half epoch. Every session counts on its route and
// on each level above, and needs capacity on all of them: siblings' leases may add up to more than
// their parent's.
type QuotaLease struct {
	HalfEpoch int64         `json:"half"`
	ExpiresAt time.Duration `json:"until"` // Unix time of the half's end
	// Allocated are whole tokens of this half, and how many connections may be established;
	// negative for no bound.
	Allocated map[string]Amounts `json:"paths"`
	// EvenShares are this member's even shares of the limits: tokens a second, and connections.
	EvenShares  map[string]Amounts `json:"even"`
	HolderRank  int                `json:"place"` // of this member among all, for the fractions of even shares
	HolderCount int                `json:"of"`
}

// epochTokens returns a limit's tokens for an epoch. A fraction of a token becomes one more in as
// many epochs as it says.
func (c LeaseConfig) epochTokens(path string, kind int, limit, epoch int64) int64 {
	millionths := mulDiv(limit, c.Epoch.Milliseconds(), 1)
	tokens := millionths / million
	if int64(hash(path, uint64(kind), uint64(epoch))%million) < millionths%million {
		tokens++
	}
	return tokens
}

// evenTokens returns the tokens for one half of the holder of some rank among count, by its even
// share alone. All holders together have no more than half of the limit's for an epoch, and one.
func (c LeaseConfig) evenTokens(limit, halfEpoch int64, rank, count int) int64 {
	millionths := mulDiv(limit, c.Epoch.Milliseconds()/2, 1)
	divisor := int64(count) * million
	remainder, half, phase := millionths%divisor, halfEpoch%divisor, int64(rank)*million
	carried := (remainder*(half+1)+phase)/divisor - (remainder*half+phase)/divisor
	return millionths/divisor + carried
}

// shareOf returns the part of some tokens that the holder of some rank among count has. More
// tokens never mean fewer for any rank.
func shareOf(tokens int64, rank, count int) int64 {
	share := tokens / int64(count)
	if int64(rank) < tokens%int64(count) {
		share++
	}
	return share
}
