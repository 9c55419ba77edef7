package route

import (
	"fmt"
	"maps"
	"time"

	"coralrelay/internal/fleet/account"
)

// The resources that a session uses, in the order of account.Amounts.
const (
	resourceConnections = iota
	resourceSetups
	resourceRetries
	resourceProbes
	resourceCount
)

// resourceNames are the names of the resources in a Rejection, equal to the JSON keys of account.Limits.
var resourceNames = [resourceCount]string{"open", "rate", "retries", "probes"}

// resourceContract is the name in a Rejection of the capacity of a contract's regions.
const resourceContract = "contract"

// resourceAmounts are amounts indexed by resource.
type resourceAmounts [resourceCount]float64

// Limiter counts this node's usage against its quota lease. Until it has a lease it applies no limits, and
// only contracts reject sessions. Times are Unix times by the agent's clock.
//
// The lease of a half epoch grants tokens for set-ups, retries and probes, which expire at the end of the
// half epoch. Until the lease of a half epoch arrives, the node uses its even share of each limit, and that
// usage counts against the lease when it arrives. In each half epoch the fleet therefore exceeds a limit by
// at most the sum of all even shares, which is half of the limit's tokens for an epoch plus one. Attempts
// after a first, and probes, are made by package balance and counted when they are made; they can exceed
// the limit beyond that. The number of established connections is limited by the last lease until that
// lease is older than HolderTimeout, and by the even share afterwards. Established connections are never
// revoked.
type Limiter struct {
	cfg               account.LeaseConfig
	halfEpoch         int64
	lease             account.QuotaLease
	leasedAt          time.Duration
	hasLease          bool
	usage             map[string]*pathUsage
	contractRemainder map[string]float64 // by contract: fraction of a session that is still to be rejected
	rejections        map[Rejection]uint64
}

// pathUsage is the usage of one path.
type pathUsage struct {
	connections int
	used        resourceAmounts // in this half epoch, except connections
	rejected    resourceAmounts // in this half epoch
	usedBefore  resourceAmounts // used in the previous half epoch
	demand      resourceAmounts // used plus rejected in the previous half epoch
}

// Rejection identifies the reason for which sessions were rejected: the level that had no capacity, or the
// contract whose regions had none.
type Rejection struct{ Account, Level, Resource string }

// maxRejectionKinds is the maximum number of different Rejections that have a count of their own, and of
// contracts whose remainders are kept.
const maxRejectionKinds = 4096

// NewLimiter returns a Limiter without a lease, for the configuration of the fleet. The error names the
// first invalid field.
func NewLimiter(cfg account.LeaseConfig) (*Limiter, error) {
	if key := cfg.InvalidField(); key != "" {
		return nil, fmt.Errorf("route limiter: invalid lease configuration: %s", key)
	}
	return &Limiter{
		cfg:               cfg,
		usage:             map[string]*pathUsage{},
		contractRemainder: map[string]float64{},
		rejections:        map[Rejection]uint64{},
	}, nil
}

// SetLease applies a lease. A lease that is older than the current one, by its half epoch, is ignored.
func (l *Limiter) SetLease(lease account.QuotaLease, now time.Duration) {
	l.advance(now)
	if l.hasLease && lease.HalfEpoch < l.lease.HalfEpoch {
		return
	}
	l.lease, l.leasedAt, l.hasLease = lease, now, true
}

// Admit counts a new session on all levels of its route. If a level has no capacity, the session is not
// counted and fullPath is the highest such level, or the contract. A session that is a retry also counts
// against the limit of retries, whoever makes the retry. The session counts as a connection until
// ConnectionClosed, so that concurrent sessions cannot exceed a limit together.
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
	// Admission requires capacity for one probe, but probes are counted when they are made.
	l.RecordAttempts(now, route, 1, int(needed[resourceRetries]), 0)
	l.ConnectionOpened(route)
	return true, ""
}

// fullResource returns the first resource of which a path has less left than needed.
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

// isContractFull reports whether the session is one of those that the route's contract rejects. They are
// spread evenly over all sessions, according to the rejected share.
func (l *Limiter) isContractFull(route *Route) bool {
	if len(l.contractRemainder) > maxRejectionKinds {
		clear(l.contractRemainder) // most of these contracts no longer exist
	}
	l.contractRemainder[route.Contract] += route.RejectedShare
	if l.contractRemainder[route.Contract] < 1 {
		return false
	}
	l.contractRemainder[route.Contract]--
	return true
}

// RecordAttempts counts set-ups, retries and probes that were made on a route without admission: attempts
// after a first, which package balance decides on, and its probes.
func (l *Limiter) RecordAttempts(now time.Duration, route *Route, setups, retries, probes int) {
	l.advance(now)
	for _, path := range route.Levels {
		usage := l.usageOf(path)
		usage.used[resourceSetups] += float64(setups)
		usage.used[resourceRetries] += float64(retries)
		usage.used[resourceProbes] += float64(probes)
	}
}

// ConnectionOpened counts a connection without admission: one that was taken over from another process.
func (l *Limiter) ConnectionOpened(route *Route) {
	for _, path := range route.Levels {
		l.usageOf(path).connections++
	}
}

// ConnectionClosed must be called once for each session that was counted by Admit or ConnectionOpened, with
// the same route, when its attempts have failed or it has ended.
func (l *Limiter) ConnectionClosed(route *Route) {
	for _, path := range route.Levels {
		if usage := l.usage[path]; usage != nil && usage.connections > 0 {
			usage.connections--
		}
	}
}

// reject counts a rejection, and adds the needed amounts to the rejected ones of all levels.
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

// Rejections returns the number of rejected sessions since the start, by reason. Beyond maxRejectionKinds
// (4096) reasons, further ones are counted by resource only, without account and level.
func (l *Limiter) Rejections() map[Rejection]uint64 { return maps.Clone(l.rejections) }
