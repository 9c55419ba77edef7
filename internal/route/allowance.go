package route

import (
	"math"
	"time"

	"coralrelay/internal/fleet/account"
)

// right is how much of a figure may be used on a path in this half; negative for no bound.
func (l *Limiter) allowance(now time.Duration, path string, resource int) float64 {
	switch {
	case !l.hasLease:
		return -1
	case resource == resourceConnections && now-l.leasedAt < l.cfg.HolderTimeout, resource != resourceConnections && l.lease.HalfEpoch == l.halfEpoch:
		if amounts, ok := l.lease.Allocated[path]; ok {
			return valuesOf(amounts)[resource]
		}
		return -1 // not dealt yet: the levels above bind
	}
	amounts, ok := l.lease.EvenShares[path]
	if !ok {
		return -1
	}
	return l.evenShare(path, resource, valuesOf(amounts)[resource])
}

// even returns this node's part of a limit whose even part for a second, or standing, is x.
// Fractions fall to the members in turn, by their places.
func (l *Limiter) evenShare(path string, resource int, share float64) float64 {
	if share < 0 {
		return -1
	}
	holderCount := int64(max(l.lease.HolderCount, 1))
	rank := int64((uint64(l.lease.HolderRank) + Hash(path)%uint64(holderCount)) % uint64(holderCount))
	if resource == resourceConnections {
		total := int64(math.Floor(share*float64(holderCount) + 1e-6))
		connections := total / holderCount
		if rank < total%holderCount {
			connections++
		}
		return float64(connections)
	}
	const million = 1_000_000
	perHalf, halfEpoch := int64(share*(l.cfg.Epoch/2).Seconds()*million), l.halfEpoch%million
	phase := rank * million / holderCount
	remainder := perHalf % million
	return float64(perHalf/million + (remainder*(halfEpoch+1)+phase)/million - (remainder*halfEpoch+phase)/million)
}

func valuesOf(amounts account.Amounts) [resourceCount]float64 {
	return [resourceCount]float64{amounts.Connections, amounts.Setups, amounts.Retries, amounts.Probes}
}

// put names a path where it has something to tell.
func putNonZero(amounts map[string]account.Amounts, path string, values [resourceCount]float64) {
	if values != ([resourceCount]float64{}) {
		amounts[path] = account.Amounts{Connections: values[resourceConnections], Setups: values[resourceSetups], Retries: values[resourceRetries], Probes: values[resourceProbes]}
	}
}
