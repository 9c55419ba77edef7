package route

import (
	"math"
	"time"
)

// million is what a token is divided into where fractions of tokens are carried.
const million = 1_000_000

// noLimit is an allowance without a bound.
const noLimit = -1

// allowance is how much of a resource may be used on a path in this half epoch; negative for no
// bound.
func (l *Limiter) allowance(now time.Duration, path string, resource int) float64 {
	if !l.hasLease {
		return noLimit
	}
	if l.isLeased(now, resource) {
		if amounts, ok := l.lease.Allocated[path]; ok {
			return valuesOf(amounts)[resource]
		}
		return noLimit // not allocated yet: the levels above limit it
	}
	amounts, ok := l.lease.EvenShares[path]
	if !ok {
		return noLimit
	}
	return l.evenShare(path, resource, valuesOf(amounts)[resource])
}

// isLeased tells whether the lease still holds for a resource.
func (l *Limiter) isLeased(now time.Duration, resource int) bool {
	if resource == resourceConnections {
		return now-l.leasedAt < l.cfg.HolderTimeout
	}
	return l.lease.HalfEpoch == l.halfEpoch
}

// evenShare returns this node's part of a limit of which share is the even share: tokens a second,
// or connections. Fractions go to the members in turn, by their ranks.
func (l *Limiter) evenShare(path string, resource int, share float64) float64 {
	if share < 0 {
		return noLimit
	}
	holderCount := int64(max(l.lease.HolderCount, 1))
	rank := int64((uint64(l.lease.HolderRank) + Hash(path)%uint64(holderCount)) % uint64(holderCount))
	if resource == resourceConnections {
		return evenConnections(share, rank, holderCount)
	}
	perHalf := int64(share * (l.cfg.Epoch / 2).Seconds() * million)
	halfEpoch := l.halfEpoch % million
	phase := rank * million / holderCount
	remainder := perHalf % million
	carried := (remainder*(halfEpoch+1)+phase)/million - (remainder*halfEpoch+phase)/million
	return float64(perHalf/million + carried)
}

// evenConnections returns the whole connections of a rank where share is the limit's even share.
func evenConnections(share float64, rank, holderCount int64) float64 {
	const roundingError = 1e-6
	total := int64(math.Floor(share*float64(holderCount) + roundingError))
	connections := total / holderCount
	if rank < total%holderCount {
		connections++
	}
	return float64(connections)
}
