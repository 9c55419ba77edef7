package account

import "time"

// Bounds of LeaseConfig.Epoch, which must be a multiple of epochStep.
const (
	minEpoch  = 10 * time.Millisecond
	maxEpoch  = time.Minute
	epochStep = 2 * time.Millisecond // makes half an epoch a whole number of milliseconds
)

// millionthsPerToken is the number of millionths in one token. The tokens of an epoch are computed in
// millionths before they become whole tokens: a limit is in thousandths of a token per second, and an
// epoch in thousandths of a second.
const millionthsPerToken = 1e6

// LeaseConfig configures the allocation of limits. All members must have the same LeaseConfig.
type LeaseConfig struct {
	// Epoch is the time for which the tokens of a limit are computed. A lease is valid for half an
	// epoch.
	Epoch time.Duration
	// HolderTimeout is how long a failed member still counts as a lease holder, and how long a
	// member that has lost contact with the replicated log keeps its share.
	HolderTimeout time.Duration
	// FleetSize is the number of members when all are alive. A member that sees at most half of
	// them as holders uses its even share of FleetSize, so that in a network partition at most one
	// side allocates the whole limits. 0 disables this rule.
	FleetSize int
}

// InvalidField returns the name of the first field with an invalid value, as it is spelled in the
// operator's file, or "" if all values are valid.
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

// QuotaLease contains the amounts that a member may use within one half epoch. Every session counts on
// its route and on each level above, and needs capacity on all of them, because the amounts of siblings
// may add up to more than the amount of their parent.
type QuotaLease struct {
	HalfEpoch int64         `json:"half"`
	ExpiresAt time.Duration `json:"until"` // Unix time of the end of the half epoch
	// Allocated contains, by path, the whole tokens of this half epoch and the number of connections
	// that may be established; a negative value is unlimited.
	Allocated map[string]Amounts `json:"paths"`
	// EvenShares contains, by path, this member's even shares of the limits: tokens per second, and
	// connections.
	EvenShares  map[string]Amounts `json:"even"`
	HolderRank  int                `json:"place"` // this member's rank, for remainders of even shares
	HolderCount int                `json:"of"`    // number of lease holders
}

// epochTokens returns the tokens of a limit for an epoch, as a whole number. The fractional part of the
// exact number is the fraction of epochs in which it is rounded up; a hash selects them.
func (c LeaseConfig) epochTokens(path string, kind int, limit, epoch int64) int64 {
	millionths := mulDiv(limit, c.Epoch.Milliseconds(), 1)
	tokens := millionths / millionthsPerToken
	if int64(hash(path, uint64(kind), uint64(epoch))%millionthsPerToken) < millionths%millionthsPerToken {
		tokens++
	}
	return tokens
}

// evenTokens returns the tokens of the even share of one holder, given by its rank among count, for one
// half epoch. The tokens of all holders add up to at most one more than half of the epoch's tokens.
func (c LeaseConfig) evenTokens(limit, halfEpoch int64, rank, count int) int64 {
	millionths := mulDiv(limit, c.Epoch.Milliseconds()/2, 1)
	divisor := int64(count) * millionthsPerToken
	remainder, half, phase := millionths%divisor, halfEpoch%divisor, int64(rank)*millionthsPerToken
	carried := (remainder*(half+1)+phase)/divisor - (remainder*half+phase)/divisor
	return millionths/divisor + carried
}

// shareOf returns the share of one holder, given by its rank among count, of a number of tokens. A
// holder's share never decreases when tokens grows.
func shareOf(tokens int64, rank, count int) int64 {
	share := tokens / int64(count)
	if int64(rank) < tokens%int64(count) {
		share++
	}
	return share
}
