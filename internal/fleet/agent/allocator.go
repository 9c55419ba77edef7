package agent

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/fleet/gossip"
	"coralrelay/internal/fleet/logentry"
	"coralrelay/internal/fleet/replog"
)

const (
	// spared is how many times as long as a deal took no other is made in the same half.
	minAllocationGap = 5
	// mostFilled bounds what is reckoned of words that were cut; whose word is beyond it
	// counts as not heard, and as having spent all that it had.
	maxFilledPaths = 200_000
	// dealing is awaited for so long: a node that asks has more to hear.
	allocationWait = 50 * time.Millisecond
)

// dealing is what the node may use of accounts' limits.
type quotaAllocator struct {
	config account.LeaseConfig

	jobs chan allocationJob // holds one at most

	mu               sync.Mutex
	busy             bool // a deal is under way
	ownUsage         account.Usage
	lastLease        account.QuotaLease
	leaseNumber      uint64 // of the last deal: when it was made, or later
	evenSharesNumber uint64 // the first deal that had its even parts
	reportingMembers int    // members that had been heard of for it
	allocatedAt      time.Duration
	cost             time.Duration
	leaseParts       [2][]account.QuotaLease // with even parts, and without
}

// job is what one deal is made of.
type allocationJob struct {
	now            time.Duration
	view           replog.View
	ownUsage       account.Usage
	usages         []gossip.Usage
	evenShareBasis account.QuotaLease
	done           chan struct{}
}

// run makes deals until ctx ends.
func (q *quotaAllocator) run(ctx context.Context, a *Agent) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-q.jobs:
			q.publish(a, job, q.allocate(a, job))
			close(job.done)
		}
	}
}

// tell puts rights into the node's answer, if they are news to it. They are dealt once in a
// half epoch, as the node's own word of it comes, and again as that of others comes.
func (q *quotaAllocator) respond(a *Agent, now time.Duration, view replog.View, report *agentapi.Report, response *agentapi.Response) {
	if view.State == nil || len(view.State.Accounts.Nodes) == 0 && report.LeaseNumber == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	hasUsage := report.Usage != nil
	if hasUsage {
		q.ownUsage = *report.Usage
		q.ownUsage.Member, q.ownUsage.ReportedAt = a.Name, now
		if q.ownUsage.IsValid() {
			a.Gossip.PublishUsage(q.ownUsage)
		} else {
			q.ownUsage = account.Usage{Member: a.Name, ReportedAt: now}
		}
	}
	usages := a.Gossip.Usages()
	halfEpoch, reportingMembers := int64(now/(q.config.Epoch/2)), 0
	for _, u := range usages {
		if u.HalfEpoch == halfEpoch {
			reportingMembers++
		}
	}
	if due := q.leaseNumber == 0 || halfEpoch != q.lastLease.HalfEpoch || (hasUsage || halfEpoch%2 == 1 && reportingMembers > q.reportingMembers) && now >= q.allocatedAt+minAllocationGap*q.cost; due && !q.busy {
		q.busy, q.reportingMembers = true, reportingMembers
		job := allocationJob{now, view, q.ownUsage, usages, q.evenShareBasis(a), make(chan struct{})}
		q.jobs <- job
		q.mu.Unlock()
		timer := time.NewTimer(allocationWait)
		select {
		case <-job.done:
		case <-timer.C:
		}
		timer.Stop()
		q.mu.Lock()
	}
	if q.leaseNumber == 0 {
		return
	}
	parts := q.leaseParts[0]
	if report.CompleteLeaseNumber >= q.evenSharesNumber && report.CompleteLeaseNumber <= q.leaseNumber {
		parts = q.leaseParts[1]
	}
	part := 0
	if report.LeaseNumber == q.leaseNumber {
		part = report.LeasePartsReceived
	}
	if response.More || part >= len(parts) { // a table goes first
		return
	}
	lease := parts[part]
	lease.ExpiresAt -= a.ClockOffset // the node's clock is the machine's
	response.Lease, response.LeaseNumber, response.LeaseParts, response.More = &lease, q.leaseNumber, len(parts), part+1 < len(parts)
}

// deal reckons this half's rights anew. Who has not heard the record for the hold goes by its
// even part.
func (q *quotaAllocator) allocate(a *Agent, job allocationJob) (lease account.QuotaLease) {
	tree := job.view.State.Accounts
	if a.lostLog(job.now, job.view, q.config.HolderTimeout) {
		lease = account.AllocateEvenShare(job.now, q.config, tree, job.ownUsage, job.evenShareBasis)
	} else {
		lease = account.Allocate(job.now, q.config, tree, completeUsages(job.usages, job.view.State, int64(job.now/(q.config.Epoch/2))), a.Gossip.LeaseHolders(), a.Name)
	}
	for _, amounts := range []map[string]account.Amounts{lease.Allocated, lease.EvenShares} { // no bound is what the node takes silence for
		maps.DeleteFunc(amounts, func(_ string, amount account.Amounts) bool {
			return amount.Connections < 0 && amount.Setups < 0 && amount.Retries < 0 && amount.Probes < 0
		})
	}
	return lease
}

// take tells the node of a deal from now on, if it is another than the last.
func (q *quotaAllocator) publish(a *Agent, job allocationJob, lease account.QuotaLease) {
	withoutEvenShares := lease
	withoutEvenShares.EvenShares = nil
	parts := [2][]account.QuotaLease{agentapi.SplitLease(lease, agentapi.MaxPartBytes), agentapi.SplitLease(withoutEvenShares, agentapi.MaxPartBytes)}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.busy, q.allocatedAt, q.cost = false, job.now, a.Clock()-job.now
	sameEvenShares := maps.Equal(lease.EvenShares, q.lastLease.EvenShares) && lease.HolderRank == q.lastLease.HolderRank && lease.HolderCount == q.lastLease.HolderCount
	if q.leaseNumber != 0 && sameEvenShares && lease.HalfEpoch == q.lastLease.HalfEpoch && maps.Equal(lease.Allocated, q.lastLease.Allocated) {
		return
	}
	q.leaseNumber = max(uint64(job.now), q.leaseNumber+1)
	if !sameEvenShares || q.evenSharesNumber == 0 {
		q.evenSharesNumber = q.leaseNumber
	}
	q.lastLease, q.leaseParts = lease, parts
}

// lost tells whether the record has not been heard for the hold.
func (a *Agent) lostLog(now time.Duration, view replog.View, timeout time.Duration) bool {
	switch {
	case view.WithinLease:
		return false
	case view.ConfirmedAt.IsZero():
		return now-a.startedAt >= timeout
	}
	return time.Since(view.ConfirmedAt) >= timeout
}

// among is what an even part is a part of: what it was at the last deal.
func (q *quotaAllocator) evenShareBasis(a *Agent) account.QuotaLease {
	if q.lastLease.HolderCount > 0 {
		return q.lastLease
	}
	holders := a.Gossip.LeaseHolders()
	return account.QuotaLease{HolderRank: max(slices.Index(holders, a.Name), 0), HolderCount: max(q.config.FleetSize, len(holders), 1)}
}

// whole returns words as the deal takes them. What a word that was cut does not name counts
// as used as much as it says of the rest.
func completeUsages(usages []gossip.Usage, state *logentry.State, halfEpoch int64) (all []account.Usage) {
	var paths []string
	filled := 0
	for _, usage := range usages {
		if usage.HalfEpoch == halfEpoch && usage.OmittedMax != (account.Amounts{}) {
			if paths == nil {
				paths = limitedPaths(state.Accounts)
			}
			if filled += len(paths); filled > maxFilledPaths {
				continue
			}
			usedBefore := maps.Clone(usage.UsedBefore)
			for _, path := range paths {
				if _, ok := usedBefore[path]; !ok {
					usedBefore[path] = usage.OmittedMax
				}
			}
			usage.UsedBefore = usedBefore
		}
		all = append(all, usage.Usage)
	}
	return all
}

// limited are the paths that have a limit which is dealt again in an epoch's second half.
func limitedPaths(state account.State) []string {
	paths := []string{}
	isLimited := func(limits account.Limits) bool {
		return limits.SetupRate >= 0 || limits.RetryRate >= 0 || limits.ProbeRate >= 0
	}
	for path, n := range state.Nodes {
		if isLimited(n.Limits) {
			paths = append(paths, path)
		}
	}
	for path, r := range state.Routes {
		if isLimited(r.Limits) {
			paths = append(paths, path)
		}
	}
	return paths
}
