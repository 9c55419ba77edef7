package route

import (
	"fmt"
	"maps"
	"time"

	"coralrelay/internal/fleet/account"
)

// The resources that a session counts on, in the order of account.Amounts.
const (
	resourceConnections = iota
	resourceSetups
	resourceRetries
	resourceProbes
	resourceCount
)

// resourceNames are what a Rejection calls the resources, as the JSON keys of account.Limits do.
var resourceNames = [resourceCount]string{"open", "rate", "retries", "probes"}

// resourceContract is what a Rejection calls the capacity that a contract's regions have.
const resourceContract = "contract"

// resourceAmounts are amounts by resource.
type resourceAmounts [resourceCount]float64

// Limiter counts what this node uses against its quota lease. Until it has a lease it rejects
// nothing. Times are Unix time by the agent's clock.
//
// A lease of a half epoch holds tokens for set-ups, retries and probes, void from its end on. In a
// half epoch without a lease yet, a node goes by its even share of each limit; what it has spent by
// then counts against the lease that comes. So in each half the fleet exceeds a limit by no more
// than all even shares together, which are half of the limit's tokens for an epoch, and one;
// attempts beyond a first and probes, which package balance makes, are counted when they are made,
// and come on top. How many connections may be established is what the last lease says until that
// is older than HolderTimeout, then the even share: an established connection is never called back.
type Limiter struct {
	cfg          account.LeaseConfig
	halfEpoch    int64
	lease        account.QuotaLease
	leasedAt     time.Duration
	hasLease     bool
	usage        map[string]*pathUsage
	contractDebt map[string]float64 // fractions of a session that contracts are still to reject
	rejections   map[Rejection]uint64
}

// pathUsage is what is used of one path.
type pathUsage struct {
	connections int
	used        resourceAmounts // in this half epoch; connections are not counted here
	rejected    resourceAmounts // in this half epoch
	usedBefore  resourceAmounts // used in the half before
	demand      resourceAmounts // and with what was rejected
}

// Rejection is why sessions were rejected: the level that was full, which is a contract where its
// regions have no capacity.
type Rejection struct{ Account, Level, Resource string }

// maxRejectionKinds bounds the kinds of rejections that are counted apart, and the contracts that
// have a debt.
const maxRejectionKinds = 4096

// NewLimiter returns a Limiter without a lease. The config is the fleet's; an error names its first
// invalid field.
func NewLimiter(cfg account.LeaseConfig) (*Limiter, error) {
	if key := cfg.InvalidField(); key != "" {
		return nil, fmt.Errorf("route limiter: invalid lease configuration: %s", key)
	}
	return &Limiter{
		cfg:          cfg,
		usage:        map[string]*pathUsage{},
		contractDebt: map[string]float64{},
		rejections:   map[Rejection]uint64{},
	}, nil
}

// SetLease takes a lease as it comes. One of an earlier half epoch than the last is late, and
// ignored.
func (l *Limiter) SetLease(lease account.QuotaLease, now time.Duration) {
	l.advance(now)
	if l.hasLease && lease.HalfEpoch < l.lease.HalfEpoch {
		return
	}
	l.lease, l.leasedAt, l.hasLease = lease, now, true
}

// Admit counts a session that comes now on all levels of its route, or returns the path of the
// level that is full, the highest of them, or the contract. A retry counts as one besides, whoever
// makes it. The session counts as a connection until ConnectionClosed, so that many at once do not
// exceed a limit together.
func (l *Limiter) Admit(now time.Duration, route *Route, retry bool) (ok bool, fullPath string) {
	l.advance(now)
	needed := resourceAmounts{resourceConnections: 1, resourceSetups: 1, resourceProbes: 1}
	if retry {
		needed[resourceRetries] = 1
	}
	for _, path := range route.Levels {
		if resource, isFull := l.fullResource(now, path, &needed); isFull {
			l.reject(route, Rejection{route.Account, path, resourceNames[resource]}, needed)
			return false, path
		}
	}
	if route.RejectedShare > 0 && l.isContractFull(route) {
		l.reject(route, Rejection{route.Account, route.Contract, resourceContract}, needed)
		return false, route.Contract
	}
	// It needs capacity for one probe, but counts the probes that are made.
	l.RecordAttempts(now, route, 1, int(needed[resourceRetries]), 0)
	l.ConnectionOpened(route)
	return true, ""
}

// fullResource returns the first resource of which a path has less left than is needed.
func (l *Limiter) fullResource(now time.Duration, path string, needed *resourceAmounts) (resource int, isFull bool) {
	usage := l.usage[path]
	for resource, amount := range needed {
		used := float64(0)
		switch {
		case usage == nil:
		case resource == resourceConnections:
			used = float64(usage.connections)
		default:
			used = usage.used[resource]
		}
		if limit := l.allowance(now, path, resource); amount > 0 && limit >= 0 && used+amount > limit {
			return resource, true
		}
	}
	return 0, false
}

// isContractFull spreads the share of sessions that a route's contract rejects evenly over them.
func (l *Limiter) isContractFull(route *Route) bool {
	if len(l.contractDebt) > maxRejectionKinds {
		clear(l.contractDebt) // most of them of contracts that are long gone
	}
	l.contractDebt[route.Contract] += route.RejectedShare
	if l.contractDebt[route.Contract] < 1 {
		return false
	}
	l.contractDebt[route.Contract]--
	return true
}

// RecordAttempts counts set-ups, retries and probes that were made on a route without being
// admitted: attempts beyond a first, which package balance decides on, and its probes.
func (l *Limiter) RecordAttempts(now time.Duration, route *Route, setups, retries, probes int) {
	l.advance(now)
	for _, path := range route.Levels {
		usage := l.usageOf(path)
		usage.used[resourceSetups] += float64(setups)
		usage.used[resourceRetries] += float64(retries)
		usage.used[resourceProbes] += float64(probes)
	}
}

// ConnectionOpened counts a connection that was not admitted: it was taken over from another
// process.
func (l *Limiter) ConnectionOpened(route *Route) {
	for _, path := range route.Levels {
		l.usageOf(path).connections++
	}
}

// ConnectionClosed is to be called once for each session that was admitted or opened, with the
// route that it had then, when its attempts have failed or it has ended.
func (l *Limiter) ConnectionClosed(route *Route) {
	for _, path := range route.Levels {
		if usage := l.usage[path]; usage != nil && usage.connections > 0 {
			usage.connections--
		}
	}
}

// reject counts a rejection, and what was needed on all levels.
func (l *Limiter) reject(route *Route, rejection Rejection, needed resourceAmounts) {
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

// Rejections returns how many sessions were rejected since the start, by why. What is beyond 4096
// kinds is counted without account and level.
func (l *Limiter) Rejections() map[Rejection]uint64 { return maps.Clone(l.rejections) }
