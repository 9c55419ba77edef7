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
	"coralrelay/internal/fleet/replog"
)

const (
	// minAllocationGap is how many times as long as an allocation took no other is made in
	// the same half epoch.
	minAllocationGap = 5
	// allocationWait is how long a report waits for an allocation: the node has more to be
	// answered.
	allocationWait = 50 * time.Millisecond
)

// quotaAllocator allocates what the node may use of accounts' limits, as a numbered lease
// that it passes to the node in parts.
type quotaAllocator struct {
	config account.LeaseConfig
	jobs   chan allocationJob // holds one at most

	mu               sync.Mutex
	busy             bool               // an allocation is under way
	ownUsage         account.Usage      // of this node
	lastLease        account.QuotaLease // the last that was published
	leaseNumber      uint64             // its number: when it was allocated, or later; 0 for none
	evenSharesNumber uint64             // number of the first lease with its even shares
	reportingMembers int                // members whose usage the last allocation had
	allocatedAt      time.Duration
	cost             time.Duration // how long the last allocation took
	parts            leaseParts
}

// leaseParts are the parts of a lease as they are passed to the node.
type leaseParts struct {
	complete          []account.QuotaLease
	withoutEvenShares []account.QuotaLease // for a node that has these already
}

// allocationJob is what one allocation is made of.
type allocationJob struct {
	now            time.Duration
	view           replog.View
	ownUsage       account.Usage
	usages         []gossip.Usage
	evenShareBasis account.QuotaLease
	done           chan struct{} // closed when the lease is published
}

// run makes allocations until ctx ends.
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

// respond adds a part of the lease to the node's answer, if it is news to the node. The lease
// is allocated once in a half epoch, as the node's own usage of it is reported, and again as
// that of other members is.
func (q *quotaAllocator) respond(a *Agent, now time.Duration, view replog.View,
	report *agentapi.Report, response *agentapi.Response) {
	if view.State == nil || len(view.State.Accounts.Nodes) == 0 && report.LeaseNumber == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	hasUsage := report.Usage != nil
	if hasUsage {
		q.setOwnUsage(a, now, *report.Usage)
	}
	usages := a.Gossip.Usages()
	halfEpoch := q.halfEpoch(now)
	reportingMembers := countReporting(usages, halfEpoch)
	if !q.busy && q.isDue(now, halfEpoch, hasUsage, reportingMembers) {
		q.busy, q.reportingMembers = true, reportingMembers
		job := allocationJob{now, view, q.ownUsage, usages, q.evenShareBasis(a), make(chan struct{})}
		q.jobs <- job
		q.mu.Unlock()
		job.wait()
		q.mu.Lock()
	}
	if q.leaseNumber != 0 {
		q.addPart(a, report, response)
	}
}

// setOwnUsage takes what the node has used, and publishes it to the other members if it is
// valid.
func (q *quotaAllocator) setOwnUsage(a *Agent, now time.Duration, usage account.Usage) {
	usage.Member, usage.ReportedAt = a.Name, now
	if usage.IsValid() {
		q.ownUsage = usage
		a.Gossip.PublishUsage(usage)
		return
	}
	q.ownUsage = account.Usage{Member: a.Name, ReportedAt: now}
}

// halfEpoch returns the number of the half epoch at the time now.
func (q *quotaAllocator) halfEpoch(now time.Duration) int64 { return int64(now / (q.config.Epoch / 2)) }

// countReporting returns how many members have reported their usage in a half epoch.
func countReporting(usages []gossip.Usage, halfEpoch int64) (count int) {
	for _, u := range usages {
		if u.HalfEpoch == halfEpoch {
			count++
		}
	}
	return count
}

// isDue reports whether to allocate anew. The lock is held.
func (q *quotaAllocator) isDue(now time.Duration, halfEpoch int64, hasUsage bool, reportingMembers int) bool {
	if q.leaseNumber == 0 || halfEpoch != q.lastLease.HalfEpoch {
		return true
	}
	isSecondHalf := halfEpoch%2 == 1
	hasNewUsage := hasUsage || isSecondHalf && reportingMembers > q.reportingMembers
	return hasNewUsage && now >= q.allocatedAt+minAllocationGap*q.cost
}

// wait waits for the job's lease, but not for long.
func (j allocationJob) wait() {
	timer := time.NewTimer(allocationWait)
	defer timer.Stop()
	select {
	case <-j.done:
	case <-timer.C:
	}
}

// addPart adds the next part of the lease that the node lacks to its answer. A part of the
// route table goes first. The lock is held.
func (q *quotaAllocator) addPart(a *Agent, report *agentapi.Report, response *agentapi.Response) {
	parts := q.parts.complete
	if report.CompleteLeaseNumber >= q.evenSharesNumber && report.CompleteLeaseNumber <= q.leaseNumber {
		parts = q.parts.withoutEvenShares
	}
	part := 0
	if report.LeaseNumber == q.leaseNumber {
		part = report.LeasePartsReceived
	}
	if response.More || part >= len(parts) {
		return
	}
	lease := parts[part]
	lease.ExpiresAt -= a.ClockOffset // the node's clock is the machine's
	response.Lease = &lease
	response.LeaseNumber = q.leaseNumber
	response.LeaseParts = len(parts)
	response.More = part+1 < len(parts)
}

// allocate returns the lease of this half epoch. A member whose log has been out of contact
// for the holder timeout gets its even share.
func (q *quotaAllocator) allocate(a *Agent, job allocationJob) (lease account.QuotaLease) {
	accounts := job.view.State.Accounts
	if a.lostLog(job.now, job.view, q.config.HolderTimeout) {
		lease = account.AllocateEvenShare(job.now, q.config, accounts, job.ownUsage, job.evenShareBasis)
	} else {
		usages := completeUsages(job.usages, accounts, q.halfEpoch(job.now))
		lease = account.Allocate(job.now, q.config, accounts, usages, a.Gossip.LeaseHolders(), a.Name)
	}
	for _, amounts := range []map[string]account.Amounts{lease.Allocated, lease.EvenShares} {
		maps.DeleteFunc(amounts, func(_ string, amount account.Amounts) bool {
			return isUnlimited(amount) // to the node, the same as not being named
		})
	}
	return lease
}

func isUnlimited(amount account.Amounts) bool {
	return amount.Connections < 0 && amount.Setups < 0 && amount.Retries < 0 && amount.Probes < 0
}

// publish passes a lease to the node from now on, if it differs from the last.
func (q *quotaAllocator) publish(a *Agent, job allocationJob, lease account.QuotaLease) {
	withoutEvenShares := lease
	withoutEvenShares.EvenShares = nil
	parts := leaseParts{
		complete:          agentapi.SplitLease(lease, agentapi.MaxPartBytes),
		withoutEvenShares: agentapi.SplitLease(withoutEvenShares, agentapi.MaxPartBytes),
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.busy, q.allocatedAt, q.cost = false, job.now, a.Clock()-job.now
	last := q.lastLease
	sameHolders := lease.HolderRank == last.HolderRank && lease.HolderCount == last.HolderCount
	sameEvenShares := sameHolders && maps.Equal(lease.EvenShares, last.EvenShares)
	sameAllocation := lease.HalfEpoch == last.HalfEpoch && maps.Equal(lease.Allocated, last.Allocated)
	if q.leaseNumber != 0 && sameEvenShares && sameAllocation {
		return
	}
	q.leaseNumber = max(uint64(job.now), q.leaseNumber+1)
	if !sameEvenShares || q.evenSharesNumber == 0 {
		q.evenSharesNumber = q.leaseNumber
	}
	q.lastLease, q.parts = lease, parts
}

// evenShareBasis returns the holder's rank and the number of holders for its even share:
// those of the last lease, if there is one. The lock is held.
func (q *quotaAllocator) evenShareBasis(a *Agent) account.QuotaLease {
	if q.lastLease.HolderCount > 0 {
		return q.lastLease
	}
	holders := a.Gossip.LeaseHolders()
	return account.QuotaLease{
		HolderRank:  max(slices.Index(holders, a.Name), 0),
		HolderCount: max(q.config.FleetSize, len(holders), 1),
	}
}
