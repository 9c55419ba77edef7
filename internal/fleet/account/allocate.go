package account

import (
	"cmp"
	"slices"
	"time"
)

// table is one member's reckoning for one half epoch.
type allocator struct {
	cfg            LeaseConfig
	halfEpoch      int64
	self           string
	ranks          map[string]int // of the holders in this half
	firstHalfRanks map[string]int // and in the epoch's first
	unreported     []string       // holders of whom it is not known what they spent in it
	spentFirstHalf map[string][amountKinds]int64
}

// Deal returns what a member may use in the half epoch in which now lies. Holders are the
// members that count, self among them, as share has them: who is alive, or failed less than
// Hold ago. Uses are the members' last words, self's own among them.
//
// Each limit is dealt over the members as share deals a cold next hop's budget: whole in an
// epoch's first half, and again in the second what is known not to have been spent. What a
// member has of a parent's is then filled among the children by what this member wants of
// each. No report makes the sum over all members greater.
func Allocate(now time.Duration, cfg LeaseConfig, state State, reports []Usage, holders []string, self string) QuotaLease {
	ownUsage := Usage{}
	latest := map[string]*Usage{}
	for i := range reports {
		usage := &reports[i]
		if previous := latest[usage.Member]; usage.IsValid() && (previous == nil || cmp.Or(cmp.Compare(usage.HalfEpoch, previous.HalfEpoch), cmp.Compare(usage.ReportedAt, previous.ReportedAt)) > 0) {
			latest[usage.Member] = usage
		}
	}
	if usage := latest[self]; usage != nil {
		ownUsage = *usage
	}
	count := len(holders)
	if count == 0 || !slices.Contains(holders, self) || 2*count <= cfg.FleetSize {
		count = max(cfg.FleetSize, count, 1)
		return AllocateEvenShare(now, cfg, state, ownUsage, QuotaLease{HolderRank: int(hash(self, 0, 0) % uint64(count)), HolderCount: count})
	}
	alloc := &allocator{cfg: cfg, halfEpoch: cfg.halfEpoch(now), self: self, spentFirstHalf: map[string][amountKinds]int64{}}
	alloc.ranks, alloc.firstHalfRanks = rankHolders(holders, alloc.halfEpoch), rankHolders(holders, alloc.halfEpoch&^1)
	connectionRanks := rankHolders(holders, -1)
	if alloc.halfEpoch%2 == 1 {
		alloc.sumReported(state, holders, latest)
	}
	lease := QuotaLease{HalfEpoch: alloc.halfEpoch, ExpiresAt: time.Duration(alloc.halfEpoch+1) * (cfg.Epoch / 2), HolderRank: connectionRanks[self], HolderCount: count}
	lease.EvenShares = state.evenShares(count)
	lease.Allocated = state.distribute(ownUsage, func(path string, kind int, limit int64) int64 {
		if kind == 0 { // how many stand is not dealt again: what stands can't be called back
			return shareOf(limit/thousand, rotateRank(connectionRanks[self], path, kind, 0, count), count)
		}
		return alloc.halfTokens(path, kind, limit)
	})
	return lease
}

// Alone returns the rights of a member that has not heard the record for Hold, or too few
// others: its even part, among as many as it was last dealt among.
func AllocateEvenShare(now time.Duration, cfg LeaseConfig, state State, ownUsage Usage, previous QuotaLease) QuotaLease {
	lease := QuotaLease{HalfEpoch: cfg.halfEpoch(now), HolderRank: previous.HolderRank, HolderCount: max(previous.HolderCount, 1)}
	lease.ExpiresAt = time.Duration(lease.HalfEpoch+1) * (cfg.Epoch / 2)
	lease.EvenShares = state.evenShares(lease.HolderCount)
	lease.Allocated = state.distribute(ownUsage, func(path string, kind int, limit int64) int64 {
		rank := rotateRank(lease.HolderRank, path, kind, 0, lease.HolderCount)
		if kind == 0 {
			return shareOf(limit/thousand, rank, lease.HolderCount)
		}
		return cfg.evenTokens(limit, lease.HalfEpoch, rank, lease.HolderCount)
	})
	return lease
}

// evenParts returns an n-th of each limit.
func (s State) evenShares(count int) map[string]Amounts {
	shares := make(map[string]Amounts, len(s.Nodes)+len(s.Routes))
	put := func(path string, limits Limits) {
		values := Amounts{limits.Connections, limits.SetupRate, limits.RetryRate, limits.ProbeRate}.values()
		for kind, value := range values {
			if values[kind] = -1; value >= 0 {
				values[kind] = value / float64(count)
			}
		}
		shares[path] = amountsOf(values)
	}
	for path, node := range s.Nodes {
		put(path, node.Limits)
	}
	for path, route := range s.Routes {
		put(path, route.Limits)
	}
	return shares
}

// ranked gives each holder a place, by rendezvous with the half.
func rankHolders(holders []string, halfEpoch int64) map[string]int {
	order := slices.Clone(holders)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(cmp.Compare(hash(a, uint64(halfEpoch), 0), hash(b, uint64(halfEpoch), 0)), cmp.Compare(a, b))
	})
	ranks := make(map[string]int, len(order))
	for rank, name := range order {
		ranks[name] = rank
	}
	return ranks
}

// turned is a place for one figure of one path: the same who comes first for one does not
// for all.
func rotateRank(rank int, path string, kind int, halfEpoch int64, count int) int {
	return int((uint64(rank) + hash(path, uint64(kind), uint64(halfEpoch))%uint64(count)) % uint64(count))
}

// hear sums what the holders say to have spent in the first half. None counts for more than
// he had, so that a false word takes nothing from others.
func (a *allocator) sumReported(s State, holders []string, latest map[string]*Usage) {
	firstHalf, end := a.halfEpoch-1, time.Duration(a.halfEpoch)*(a.cfg.Epoch/2)
	count := len(holders)
	for _, name := range holders {
		var spent map[string]Amounts
		reported := false
		if usage := latest[name]; usage != nil {
			spent, reported = usage.spentIn(firstHalf, end)
		}
		if !reported {
			a.unreported = append(a.unreported, name)
			continue
		}
		for path, amounts := range spent {
			limits, ok := s.limitsAt(path)
			if !ok {
				continue
			}
			sum, thousandths := a.spentFirstHalf[path], limits.thousandths()
			for kind, amount := range amounts.values() {
				if kind > 0 && amount > 0 && thousandths[kind] >= 0 {
					allotted := shareOf(a.cfg.epochTokens(path, kind, thousandths[kind], a.halfEpoch/2), rotateRank(a.firstHalfRanks[name], path, kind, firstHalf, count), count)
					sum[kind] += min(ceilToken(amount), allotted)
				}
			}
			a.spentFirstHalf[path] = sum
		}
	}
}

// tokens returns this member's of one figure in this half.
func (a *allocator) halfTokens(path string, kind int, limit int64) int64 {
	count, remaining := len(a.ranks), a.cfg.epochTokens(path, kind, limit, a.halfEpoch/2)
	if a.halfEpoch%2 == 1 {
		total := remaining
		remaining -= a.spentFirstHalf[path][kind]
		for _, name := range a.unreported {
			remaining -= shareOf(total, rotateRank(a.firstHalfRanks[name], path, kind, a.halfEpoch-1, count), count)
		}
	}
	return shareOf(max(remaining, 0), rotateRank(a.ranks[a.self], path, kind, a.halfEpoch, count), count)
}

func hash(text string, a, b uint64) uint64 {
	x := uint64(14695981039346656037) // FNV-1a
	for i := range len(text) {
		x = (x ^ uint64(text[i])) * 1099511628211
	}
	x ^= a*0x9e3779b97f4a7c15 ^ b*0xbf58476d1ce4e5b9
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
