package route

import (
	"math"
	"time"
)

// fractionScale is the fixed-point scale in which fractions of tokens are carried over.
const fractionScale = 1_000_000

// noLimit is the allowance of an unlimited resource.
const noLimit = -1

// allowance returns the amount of a resource that may be used on a path in this half epoch. A negative
// amount, such as noLimit, is unlimited.
func (l *Limiter) allowance(now time.Duration, path string, resource int) float64 {
	if !l.hasLease {
		return noLimit
	}
	if l.isLeased(now, resource) {
		if amounts, ok := l.lease.Allocated[path]; ok {
			return valuesOf(amounts)[resource]
		}
		return noLimit // not allocated yet: limited by the levels above it
	}
	amounts, ok := l.lease.EvenShares[path]
	if !ok {
		return noLimit
	}
	return l.evenShare(path, resource, valuesOf(amounts)[resource])
}

// isLeased reports whether the lease is still valid for a resource.
func (l *Limiter) isLeased(now time.Duration, resource int) bool {
	if resource == resourceConnections {
		return now-l.leasedAt < l.cfg.HolderTimeout
	}
	return l.lease.HalfEpoch == l.halfEpoch
}

// evenShare returns this node's part of a limit in this half epoch. The argument share is the even share of
// the limit: tokens per second, or connections. Fractions are given to the members in turn, by their ranks.
func (l *Limiter) evenShare(path string, resource int, share float64) float64 {
	if share < 0 {
		return noLimit
	}
	holderCount := int64(max(l.lease.HolderCount, 1))
	rank := int64((uint64(l.lease.HolderRank) + Hash(path)%uint64(holderCount)) % uint64(holderCount))
	if resource == resourceConnections {
		return evenConnections(share, rank, holderCount)
	}
	perHalf := int64(share * (l.cfg.Epoch / 2).Seconds() * fractionScale)
	halfEpoch := l.halfEpoch % fractionScale
	phase := rank * fractionScale / holderCount
	remainder := perHalf % fractionScale
	carried := (remainder*(halfEpoch+1)+phase)/fractionScale - (remainder*halfEpoch+phase)/fractionScale
	return float64(perHalf/fractionScale + carried)
}

// evenConnections returns the number of connections for the member of a rank, from the even share of the
// limit.
func evenConnections(share float64, rank, holderCount int64) float64 {
	const roundingError = 1e-6
	total := int64(math.Floor(share*float64(holderCount) + roundingError))
	connections := total / holderCount
	if rank < total%holderCount {
		connections++
	}
	return float64(connections)
}
