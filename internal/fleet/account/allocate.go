package account

import (
	"slices"
	"time"
)

// allocator computes one member's part of each limit for one half epoch.
type allocator struct {
	cfg             LeaseConfig
	halfEpoch       int64
	self            string
	ranks           map[string]int // of the holders in this half
	firstHalfRanks  map[string]int // and in the epoch's first
	connectionRanks map[string]int // the same in all halves
	unreported      []string       // holders of whom it is not known what they spent in the first half
	spentFirstHalf  map[string]amountValues
}

// Allocate returns what a member may use in the half epoch in which now lies, in Unix time.
// Holders are the members that count, self among them, as package quota has them: alive, or failed
// less than HolderTimeout ago. Reports are the members' latest, self's own among them.
//
// Each limit is allocated over the members as package quota allocates the budget of an endpoint
// that is warming up: all of an epoch's tokens in its first half, and again in the second what is
// known not to have been spent. What a member has of a parent's is then distributed among the
// children by what this member demands of each. No report makes the sum over all members greater.
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
		Allocated:   state.distribute(ownUsage, alloc.allot),
	}
}

// AllocateEvenShare returns the lease of a member that has not heard from the replicated log for
// HolderTimeout, or sees too few others: its even share, among as many holders as in its previous
// lease.
func AllocateEvenShare(
	now time.Duration, cfg LeaseConfig, state State, ownUsage Usage, previous QuotaLease,
) QuotaLease {
	count := max(previous.HolderCount, 1)
	halfEpoch := cfg.halfEpoch(now)
	allot := func(path string, kind int, limit int64) int64 {
		rank := rotateRank(previous.HolderRank, path, kind, 0, count)
		if kind == connectionsKind {
			return shareOf(limit/thousand, rank, count)
		}
		return cfg.evenTokens(limit, halfEpoch, rank, count)
	}
	return QuotaLease{
		HalfEpoch:   halfEpoch,
		ExpiresAt:   cfg.halfStart(halfEpoch + 1),
		HolderRank:  previous.HolderRank,
		HolderCount: count,
		EvenShares:  state.evenShares(count),
		Allocated:   state.distribute(ownUsage, allot),
	}
}

// latestReports returns each member's latest valid report.
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

// evenShares returns an equal share, one of count, of each limit.
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

// allot is the allotFunc of the member's lease.
func (a *allocator) allot(path string, kind int, limit int64) int64 {
	count := len(a.ranks)
	if kind == connectionsKind { // not allocated anew: an established connection can't be called back
		return shareOf(limit/thousand, rotateRank(a.connectionRanks[a.self], path, kind, 0, count), count)
	}
	remaining := a.cfg.epochTokens(path, kind, limit, a.epoch())
	if a.isSecondHalf() {
		remaining = a.unspentTokens(path, kind, remaining)
	}
	return shareOf(remaining, rotateRank(a.ranks[a.self], path, kind, a.halfEpoch, count), count)
}

// unspentTokens returns what is left of an epoch's tokens after the first half. A holder that has
// not reported counts as having spent all that it had.
func (a *allocator) unspentTokens(path string, kind int, total int64) int64 {
	remaining := total - a.spentFirstHalf[path][kind]
	for _, name := range a.unreported {
		remaining -= a.firstHalfShare(name, path, kind, total)
	}
	return max(remaining, 0)
}

// firstHalfShare returns what a holder had in the epoch's first half. It is called in the second.
func (a *allocator) firstHalfShare(name, path string, kind int, total int64) int64 {
	count := len(a.ranks)
	return shareOf(total, rotateRank(a.firstHalfRanks[name], path, kind, a.halfEpoch-1, count), count)
}

// sumReported sums what the holders report to have spent in the first half.
func (a *allocator) sumReported(state State, holders []string, latest map[string]*Usage) {
	firstHalf, end := a.halfEpoch-1, a.cfg.halfStart(a.halfEpoch)
	for _, name := range holders {
		var spent map[string]Amounts
		isReported := false
		if usage := latest[name]; usage != nil {
			spent, isReported = usage.spentIn(firstHalf, end)
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

// addSpent adds what a holder reports to have spent on a path. It counts for no more than the holder
// had, so that a false report takes nothing from others.
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
