package account

import (
	"slices"
	"time"
)

// allocator computes one member's share of each limit for one half epoch.
type allocator struct {
	cfg             LeaseConfig
	halfEpoch       int64
	self            string
	ranks           map[string]int // ranks of the holders in this half
	firstHalfRanks  map[string]int // ranks of the holders in the first half of the epoch
	connectionRanks map[string]int // ranks for connections, the same in all halves
	unreported      []string       // holders whose spending in the first half is unknown
	spentFirstHalf  map[string]amountValues
}

// Allocate returns the lease of the member self for the half epoch that contains now, a Unix time.
// Holders are the members that limits are allocated to, including self: as in package quota, those
// that are alive or have failed less than HolderTimeout ago. Reports are the latest reports of the
// members, including that of self.
//
// Each limit is allocated among the members in the same way as package quota allocates the budget of
// an endpoint that is warming up: all tokens of an epoch in its first half, and the tokens that are
// known to be unspent again in the second. The member's share of a parent's limit is then distributed
// among the children according to the member's demand on each. No report can increase the sum over all
// members.
func Allocate(
	now time.Duration, cfg LeaseConfig, state State, reports []Usage, holders []string, self string,
) QuotaLease {
	latest := latestReports(reports)
	ownUsage := Usage{}
	if usage := latest[self]; usage != nil {
		ownUsage = *usage
	}
	count := len(holders)
	if count == 0 || !slices.Contains(holders, self) || 2*count <= cfg.FleetSize {
		count = max(cfg.FleetSize, count, 1)
		rank := int(hash(self, 0, 0) % uint64(count))
		return AllocateEvenShare(now, cfg, state, ownUsage, QuotaLease{HolderRank: rank, HolderCount: count})
	}
	alloc := newAllocator(cfg, cfg.halfEpoch(now), holders, self)
	if alloc.isSecondHalf() {
		alloc.sumReported(state, holders, latest)
	}
	return QuotaLease{
		HalfEpoch:   alloc.halfEpoch,
		ExpiresAt:   cfg.halfStart(alloc.halfEpoch + 1),
		HolderRank:  alloc.connectionRanks[self],
		HolderCount: count,
		EvenShares:  state.evenShares(count),
		Allocated:   state.distribute(ownUsage, alloc.memberShare),
	}
}

// AllocateEvenShare returns the lease of a member that has had no contact with the replicated log for
// HolderTimeout, or that sees half of the fleet or less: its even share of each limit. The rank and the
// holder count come from previous: the member's previous lease or, if it has none or sees half of the
// fleet or less, a QuotaLease with a holder count of at least FleetSize.
func AllocateEvenShare(
	now time.Duration, cfg LeaseConfig, state State, ownUsage Usage, previous QuotaLease,
) QuotaLease {
	count := max(previous.HolderCount, 1)
	halfEpoch := cfg.halfEpoch(now)
	memberShare := func(path string, kind int, limit int64) int64 {
		rank := rotateRank(previous.HolderRank, path, kind, 0, count)
		if kind == connectionsKind {
			return shareOf(limit/fixedPointScale, rank, count)
		}
		return cfg.evenTokens(limit, halfEpoch, rank, count)
	}
	return QuotaLease{
		HalfEpoch:   halfEpoch,
		ExpiresAt:   cfg.halfStart(halfEpoch + 1),
		HolderRank:  previous.HolderRank,
		HolderCount: count,
		EvenShares:  state.evenShares(count),
		Allocated:   state.distribute(ownUsage, memberShare),
	}
}

// latestReports returns the latest valid report of each member.
func latestReports(reports []Usage) map[string]*Usage {
	latest := map[string]*Usage{}
	for i := range reports {
		usage := &reports[i]
		if !usage.IsValid() {
			continue
		}
		if previous := latest[usage.Member]; previous == nil || usage.isNewerThan(previous) {
			latest[usage.Member] = usage
		}
	}
	return latest
}

// evenShares returns each limit divided by count.
func (s State) evenShares(count int) map[string]Amounts {
	shares := make(map[string]Amounts, len(s.Nodes)+len(s.Routes))
	for path, node := range s.Nodes {
		shares[path] = node.Limits.evenShare(count)
	}
	for path, route := range s.Routes {
		shares[path] = route.Limits.evenShare(count)
	}
	return shares
}

func (l Limits) evenShare(count int) Amounts {
	limits := l.values()
	var values [amountKinds]float64
	for kind := range values {
		values[kind] = -1
		if limits[kind] >= 0 {
			values[kind] = limits[kind] / float64(count)
		}
	}
	return amountsOf(values)
}

func newAllocator(cfg LeaseConfig, halfEpoch int64, holders []string, self string) *allocator {
	return &allocator{
		cfg:             cfg,
		halfEpoch:       halfEpoch,
		self:            self,
		ranks:           rankHolders(holders, halfEpoch),
		firstHalfRanks:  rankHolders(holders, halfEpoch&^1),
		connectionRanks: rankHolders(holders, -1),
		spentFirstHalf:  map[string]amountValues{},
	}
}

func (a *allocator) isSecondHalf() bool { return a.halfEpoch%2 == 1 }

func (a *allocator) epoch() int64 { return a.halfEpoch / 2 }

// memberShare is the shareFunc for the member's lease.
func (a *allocator) memberShare(path string, kind int, limit int64) int64 {
	count := len(a.ranks)
	if kind == connectionsKind { // not reallocated: an established connection can't be revoked
		return shareOf(
			limit/fixedPointScale, rotateRank(a.connectionRanks[a.self], path, kind, 0, count), count)
	}
	remaining := a.cfg.epochTokens(path, kind, limit, a.epoch())
	if a.isSecondHalf() {
		remaining = a.unspentTokens(path, kind, remaining)
	}
	return shareOf(remaining, rotateRank(a.ranks[a.self], path, kind, a.halfEpoch, count), count)
}

// unspentTokens returns the tokens of an epoch that remain after its first half. A holder that has not
// reported counts as having spent its whole share.
func (a *allocator) unspentTokens(path string, kind int, total int64) int64 {
	remaining := total - a.spentFirstHalf[path][kind]
	for _, name := range a.unreported {
		remaining -= a.firstHalfShare(name, path, kind, total)
	}
	return max(remaining, 0)
}

// firstHalfShare returns the share of a holder in the first half of the epoch. It must be called in
// the second half.
func (a *allocator) firstHalfShare(name, path string, kind int, total int64) int64 {
	count := len(a.ranks)
	return shareOf(total, rotateRank(a.firstHalfRanks[name], path, kind, a.halfEpoch-1, count), count)
}

// sumReported sums the tokens that the holders report as spent in the first half.
func (a *allocator) sumReported(state State, holders []string, latest map[string]*Usage) {
	firstHalf, end := a.halfEpoch-1, a.cfg.halfStart(a.halfEpoch)
	for _, name := range holders {
		var spent map[string]Amounts
		isReported := false
		if usage := latest[name]; usage != nil {
			spent, isReported = usage.spentInFirstHalf(firstHalf, end)
		}
		if !isReported {
			a.unreported = append(a.unreported, name)
			continue
		}
		for path, amounts := range spent {
			if limits, ok := state.limitsAt(path); ok {
				a.addSpent(name, path, amounts, limits)
			}
		}
	}
}

// addSpent adds the tokens that a holder reports as spent on a path. They are limited to the holder's
// share, so that a false report takes nothing from other holders.
func (a *allocator) addSpent(name, path string, amounts Amounts, limits Limits) {
	sum, thousandths := a.spentFirstHalf[path], limits.thousandths()
	for kind, amount := range amounts.values() {
		if kind == connectionsKind || amount <= 0 || thousandths[kind] < 0 {
			continue
		}
		total := a.cfg.epochTokens(path, kind, thousandths[kind], a.epoch())
		sum[kind] += min(ceilTokens(amount), a.firstHalfShare(name, path, kind, total))
	}
	a.spentFirstHalf[path] = sum
}
