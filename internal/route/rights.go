package route

import (
	"math"
	"time"

	"coralrelay/internal/fleet/account"
)

// right is how much of a figure may be used on a path in this half; negative for no bound.
func (l *Limiter) right(now time.Duration, path string, figure int) float64 {
	switch {
	case !l.has:
		return -1
	case figure == open && now-l.dealt < l.cfg.HolderTimeout, figure != open && l.rights.HalfEpoch == l.half:
		if f, ok := l.rights.Allocated[path]; ok {
			return array(f)[figure]
		}
		return -1 // not dealt yet: the levels above bind
	}
	f, ok := l.rights.EvenShares[path]
	if !ok {
		return -1
	}
	return l.even(path, figure, array(f)[figure])
}

// even returns this node's part of a limit whose even part for a second, or standing, is x.
// Fractions fall to the members in turn, by their places.
func (l *Limiter) even(path string, figure int, x float64) float64 {
	if x < 0 {
		return -1
	}
	n := int64(max(l.rights.HolderCount, 1))
	place := int64((uint64(l.rights.HolderRank) + Hash(path)%uint64(n)) % uint64(n))
	if figure == open {
		all := int64(math.Floor(x*float64(n) + 1e-6))
		part := all / n
		if place < all%n {
			part++
		}
		return float64(part)
	}
	const million = 1_000_000
	each, h := int64(x*(l.cfg.Epoch/2).Seconds()*million), l.half%million
	phase := place * million / n
	rest := each % million
	return float64(each/million + (rest*(h+1)+phase)/million - (rest*h+phase)/million)
}

func array(f account.Amounts) [figures]float64 {
	return [figures]float64{f.Connections, f.Setups, f.Retries, f.Probes}
}

// put names a path where it has something to tell.
func put(m map[string]account.Amounts, path string, a [figures]float64) {
	if a != ([figures]float64{}) {
		m[path] = account.Amounts{Connections: a[open], Setups: a[rate], Retries: a[retries], Probes: a[probes]}
	}
}
