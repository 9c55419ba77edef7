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
	// minAllocationGapFactor is the minimum time between the starts of two allocations in the same half
	// epoch, as a multiple of the duration of the first.
	minAllocationGapFactor = 5
	// maxAllocationWait limits how long the response to a report is delayed by an allocation, because
	// the response does not carry the lease alone.
	maxAllocationWait = 50 * time.Millisecond
)

// quotaAllocator allocates the node's share of the accounts' limits as a numbered lease, and sends the
// lease to the node in parts.
type quotaAllocator struct {
	config account.LeaseConfig
	jobs   chan allocationJob // at most one is queued

	mu                 sync.Mutex
	allocating         bool               // an allocation is queued or running
	ownUsage           account.Usage      // usage of this node
	lastLease          account.QuotaLease // last published lease
	leaseNumber        uint64             // number of lastLease: its Unix time in ns or more; 0 for none
	evenSharesNumber   uint64             // number of the first lease with the even shares of lastLease
	reportingMembers   int                // members whose usage the last allocation included
	allocatedAt        time.Duration
	allocationDuration time.Duration // how long the last allocation took
	parts              leaseParts
}

// leaseParts are the parts of a lease, as they are sent to the node.
type leaseParts struct {
	complete          []account.QuotaLease
	withoutEvenShares []account.QuotaLease // for a node that already has the even shares
}

// allocationJob is the input of one allocation.
type allocationJob struct {
	now            time.Duration
	view           replog.View
	ownUsage       account.Usage
	usages         []gossip.Usage
	evenShareBasis account.QuotaLease
	done           chan struct{} // closed after the lease is published
}

// run processes allocation jobs until ctx ends.
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

// respond adds the next part of the lease to the response, if the node lacks one. It first allocates a
// new lease if that is due: once in each half epoch, again when the node reports its own usage, and again
// when further members have reported theirs.
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
	if !q.allocating && q.isDue(now, halfEpoch, hasUsage, reportingMembers) {
		q.allocating, q.reportingMembers = true, reportingMembers
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

// setOwnUsage stores the node's usage and publishes it to the other members. An invalid usage is not
// published, and is stored as empty. The caller holds the lock.
func (q *quotaAllocator) setOwnUsage(a *Agent, now time.Duration, usage account.Usage) {
	usage.Member, usage.ReportedAt = a.Name, now
	if usage.IsValid() {
		q.ownUsage = usage
		a.Gossip.PublishUsage(usage)
		return
	}
	q.ownUsage = account.Usage{Member: a.Name, ReportedAt: now}
}

// halfEpoch returns the number of the half epoch that contains now.
func (q *quotaAllocator) halfEpoch(now time.Duration) int64 { return int64(now / (q.config.Epoch / 2)) }

// countReporting returns how many members have reported their usage in the half epoch.
func countReporting(usages []gossip.Usage, halfEpoch int64) (count int) {
	for _, u := range usages {
		if u.HalfEpoch == halfEpoch {
			count++
		}
	}
	return count
}

// isDue reports whether a new lease has to be allocated. In the second half of an epoch, reports of
// further members make it due as well, because only then are their reports used. The caller holds the
// lock.
func (q *quotaAllocator) isDue(now time.Duration, halfEpoch int64, hasUsage bool, reportingMembers int) bool {
	if q.leaseNumber == 0 || halfEpoch != q.lastLease.HalfEpoch {
		return true
	}
	isSecondHalf := halfEpoch%2 == 1
	hasNewUsage := hasUsage || isSecondHalf && reportingMembers > q.reportingMembers
	return hasNewUsage && now >= q.allocatedAt+minAllocationGapFactor*q.allocationDuration
}

// wait waits until the job's lease is published, for at most maxAllocationWait.
func (j allocationJob) wait() {
	timer := time.NewTimer(maxAllocationWait)
	defer timer.Stop()
	select {
	case <-j.done:
	case <-timer.C:
	}
}

// addPart adds the next part of the lease that the node lacks to the response. It adds none while parts
// of the route table remain to be sent. The caller holds the lock.
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

// allocate returns the lease for the half epoch of the job. If the replicated log has been out of
// contact for the holder timeout, the lease is the node's even share.
func (q *quotaAllocator) allocate(a *Agent, job allocationJob) (lease account.QuotaLease) {
	accounts := job.view.State.Accounts
	if a.isLogContactLost(job.now, job.view, q.config.HolderTimeout) {
		lease = account.AllocateEvenShare(job.now, q.config, accounts, job.ownUsage, job.evenShareBasis)
	} else {
		usages := completeUsages(job.usages, accounts, q.halfEpoch(job.now))
		lease = account.Allocate(job.now, q.config, accounts, usages, a.Gossip.LeaseHolders(), a.Name)
	}
	for _, amounts := range []map[string]account.Amounts{lease.Allocated, lease.EvenShares} {
		maps.DeleteFunc(amounts, func(_ string, amount account.Amounts) bool {
			return isUnlimited(amount) // the node treats an unlisted path as unlimited
		})
	}
	return lease
}

func isUnlimited(amount account.Amounts) bool {
	return amount.Connections < 0 && amount.Setups < 0 && amount.Retries < 0 && amount.Probes < 0
}

// publish makes lease the one that respond sends to the node, if it differs from the last lease.
func (q *quotaAllocator) publish(a *Agent, job allocationJob, lease account.QuotaLease) {
	withoutEvenShares := lease
	withoutEvenShares.EvenShares = nil
	parts := leaseParts{
		complete:          agentapi.SplitLease(lease, agentapi.MaxPartBytes),
		withoutEvenShares: agentapi.SplitLease(withoutEvenShares, agentapi.MaxPartBytes),
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.allocating, q.allocatedAt, q.allocationDuration = false, job.now, a.Clock()-job.now
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

// evenShareBasis returns a lease with the holder rank and count from which the node's even share is
// computed: those of the last lease, if there is one. The caller holds the lock.
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
