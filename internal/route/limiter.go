package route

import (
	"fmt"
	"maps"
	"time"

	"coralrelay/internal/fleet/account"
)

// The figures that a transaction counts on, in the order of account.Figures.
const (
	resourceConnections = iota
	resourceSetups
	resourceRetries
	resourceProbes
	resourceCount
)

var resourceNames = [resourceCount]string{"open", "rate", "retries", "probes"}

// Ledger counts what this node uses against the rights that it was dealt. Until it is dealt
// some it refuses nothing.
//
// Rights of a half epoch are tokens for set-ups, retries and probes, void from its end on.
// In a half that nothing was dealt for yet, a node goes by its even part of each limit; what
// it has spent by then counts against what it is dealt. So in each half the fleet is over
// by no more than all even parts together, which are half of a limit's tokens for an epoch,
// and one; attempts beyond a first and probes, which the module makes, are counted when
// they are made, and come on top. How many may stand is what was last dealt
// until that is older than the hold, then the even part: what stands is never called back.
type Limiter struct {
	cfg          account.LeaseConfig
	halfEpoch    int64
	lease        account.QuotaLease
	leasedAt     time.Duration // when; counts once rights are there
	hasLease     bool
	usage        map[string]*pathUsage
	contractDebt map[string]float64 // parts of a transaction that contracts are still to refuse
	rejections   map[Rejection]uint64
}

// count is what is used of one path.
type pathUsage struct {
	connections int
	used        [resourceCount]float64 // in this half; of open nothing
	rejected    [resourceCount]float64
	usedBefore  [resourceCount]float64 // used in the half before
	demand      [resourceCount]float64 // and with what was refused
}

// Refusal is what transactions were refused for: the level that was full, which is a
// contract where its regions have no room.
type Rejection struct{ Account, Level, Resource string }

// mostSaid bounds the kinds of refusals that are counted apart.
const maxRejectionKinds = 4096

// NewLedger returns a Ledger of what all members are given alike.
func NewLimiter(cfg account.LeaseConfig) (*Limiter, error) {
	if key := cfg.InvalidField(); key != "" {
		return nil, fmt.Errorf("ledger: %s can't be worked with", key)
	}
	return &Limiter{cfg: cfg, usage: map[string]*pathUsage{}, contractDebt: map[string]float64{}, rejections: map[Rejection]uint64{}}, nil
}

// Deal takes rights as they come. Those of an older half than the last are late, and passed
// over. Times are Unix time.
func (l *Limiter) SetLease(lease account.QuotaLease, now time.Duration) {
	l.advance(now)
	if l.hasLease && lease.HalfEpoch < l.lease.HalfEpoch {
		return
	}
	l.lease, l.leasedAt, l.hasLease = lease, now, true
}

// Admit takes a transaction that comes now onto all levels of its route, or tells which is
// full, the highest of them. A retry counts as one besides, whoever makes it. It stands from
// then on until Closed, so that many at once do not pass a limit together.
func (l *Limiter) Admit(now time.Duration, route *Route, retry bool) (ok bool, fullPath string) {
	l.advance(now)
	needed := [resourceCount]float64{resourceConnections: 1, resourceSetups: 1, resourceProbes: 1}
	if retry {
		needed[resourceRetries] = 1
	}
	for _, path := range route.Levels {
		usage := l.usage[path]
		for resource, amount := range needed {
			used := float64(0)
			if usage != nil {
				if used = usage.used[resource]; resource == resourceConnections {
					used = float64(usage.connections)
				}
			}
			if limit := l.allowance(now, path, resource); amount > 0 && limit >= 0 && used+amount > limit {
				l.reject(route, Rejection{route.Account, path, resourceNames[resource]}, needed)
				return false, path
			}
		}
	}
	if route.RejectedShare > 0 {
		if len(l.contractDebt) > maxRejectionKinds {
			clear(l.contractDebt) // of contracts that are long gone, most of them
		}
		if l.contractDebt[route.Contract] += route.RejectedShare; l.contractDebt[route.Contract] >= 1 {
			l.contractDebt[route.Contract]--
			l.reject(route, Rejection{route.Account, route.Contract, "contract"}, needed)
			return false, route.Contract
		}
	}
	needed[resourceProbes] = 0 // it needs room for one, and counts those that it makes
	l.RecordAttempts(now, route, 1, int(needed[resourceRetries]), 0)
	l.ConnectionOpened(route)
	return true, ""
}

// Spent counts set-ups, retries and probes that were made on a route without being asked
// for: attempts beyond a first, which the module decides on, and what it has probed.
func (l *Limiter) RecordAttempts(now time.Duration, route *Route, setups, retries, probes int) {
	l.advance(now)
	for _, path := range route.Levels {
		usage := l.usageOf(path)
		usage.used[resourceSetups] += float64(setups)
		usage.used[resourceRetries] += float64(retries)
		usage.used[resourceProbes] += float64(probes)
	}
}

// Opened counts what stands without having been admitted: it was taken over.
func (l *Limiter) ConnectionOpened(route *Route) {
	for _, path := range route.Levels {
		l.usageOf(path).connections++
	}
}

// Closed is told once for each that was admitted or opened, with the route of then: its
// attempts have failed, or it has ended.
func (l *Limiter) ConnectionClosed(route *Route) {
	for _, path := range route.Levels {
		if usage := l.usage[path]; usage != nil && usage.connections > 0 {
			usage.connections--
		}
	}
}

func (l *Limiter) usageOf(path string) *pathUsage {
	usage := l.usage[path]
	if usage == nil {
		usage = &pathUsage{}
		l.usage[path] = usage
	}
	return usage
}

// turn begins a half epoch. Paths that nothing is known of any more are forgotten.
func (l *Limiter) advance(now time.Duration) {
	halfEpoch := int64(now / (l.cfg.Epoch / 2))
	if halfEpoch <= l.halfEpoch {
		return
	}
	for path, c := range l.usage {
		next := pathUsage{connections: c.connections}
		if halfEpoch == l.halfEpoch+1 {
			next.usedBefore = c.used
			for i := range resourceCount {
				next.demand[i] = c.used[i] + c.rejected[i]
			}
			next.demand[resourceConnections] = float64(c.connections) + c.rejected[resourceConnections]
		}
		if next == (pathUsage{}) {
			delete(l.usage, path)
			continue
		}
		*c = next
	}
	l.halfEpoch = halfEpoch
}

// refuse counts a refusal, and what was wanted on all levels.
func (l *Limiter) reject(route *Route, rejection Rejection, needed [resourceCount]float64) {
	for _, path := range route.Levels {
		usage := l.usageOf(path)
		for resource, amount := range needed {
			usage.rejected[resource] += amount
		}
	}
	if _, ok := l.rejections[rejection]; !ok && len(l.rejections) >= maxRejectionKinds {
		rejection = Rejection{Resource: rejection.Resource}
	}
	l.rejections[rejection]++
}

// Refused tells how many transactions were refused for what since the start. What is beyond
// 4096 kinds is counted without account and level.
func (l *Limiter) Rejections() map[Rejection]uint64 { return maps.Clone(l.rejections) }

// Use is this node's word for its agent, which adds who and when. Paths that have nothing to
// tell are left out.
func (l *Limiter) Usage(now time.Duration) account.Usage {
	l.advance(now)
	report := account.Usage{HalfEpoch: l.halfEpoch, Used: map[string]account.Amounts{}, UsedBefore: map[string]account.Amounts{}, Demand: map[string]account.Amounts{}}
	for path, usage := range l.usage {
		used := usage.used
		used[resourceConnections] = float64(usage.connections)
		putNonZero(report.Used, path, used)
		putNonZero(report.UsedBefore, path, usage.usedBefore)
		putNonZero(report.Demand, path, usage.demand)
	}
	return report
}
