package agentapi

import (
	"maps"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/agentapi/routeupdate"
	"coralrelay/internal/inputlimit"
)

const (
	// maxParts limits the number of parts of an update or a lease, each of which has several kilobytes.
	maxParts = 1 << 14
	// minUpdateBytes and maxUpdateBytes bound the limit on all parts of an update or a lease. The largest
	// account tree takes some 3 MiB for each.
	minUpdateBytes, maxUpdateBytes = 4 << 20, 64 << 20
	// updateMemoryDivisor is the share of the node's memory that the parts of an update may have.
	updateMemoryDivisor = 8
)

// Reassembler reassembles updates and leases from their parts on the node. A Reassembler is not safe
// for concurrent use.
type Reassembler struct {
	maxBytes int // of all parts of an update or a lease

	tableBytes int // received of the update
	leaseBytes int // received of the lease

	tableIndex uint64 // index of the update being received
	table      routeupdate.Update
	tableParts int // number of parts received

	leaseNumber uint64 // number of the lease being received, or of the last one received
	lease       account.QuotaLease
	leaseParts  int // number of parts received

	completeLeaseNumber uint64                     // number of the last complete lease
	evenShares          map[string]account.Amounts // even shares of the last complete lease
}

// NewReassembler returns a Reassembler for a node with the given memory in MiB.
func NewReassembler(memoryMB int) *Reassembler {
	return &Reassembler{maxBytes: min(max(memoryMB<<20/updateMemoryDivisor, minUpdateBytes), maxUpdateBytes)}
}

// FillProgress sets the fields of a report that state which updates and leases have been received.
func (r *Reassembler) FillProgress(report *Report) {
	report.PartialTableIndex, report.TablePartsReceived = r.tableIndex, r.tableParts
	report.LeaseNumber, report.LeasePartsReceived = r.leaseNumber, r.leaseParts
	report.CompleteLeaseNumber = r.completeLeaseNumber
}

// AddTable adds the part of an update that a response carries, and returns the update once all parts
// have been received. A part of a different update discards the parts received so far.
// The error is an *inputlimit.Error if the update is too large.
func (r *Reassembler) AddTable(response *Response) (update routeupdate.Update, isComplete bool, err error) {
	part := response.Table
	switch {
	case part == nil || response.TableParts > maxParts:
		return routeupdate.Update{}, false, nil
	case r.tableParts > 0 && part.Index == r.tableIndex:
		r.table.Set = append(r.table.Set, part.Set...)
		r.table.Removed = append(r.table.Removed, part.Removed...)
		r.table.Allocations = append(r.table.Allocations, part.Allocations...)
	default:
		r.tableIndex, r.table, r.tableParts, r.tableBytes = part.Index, *part, 0, 0
	}
	r.tableParts++
	r.tableBytes += response.Size
	switch {
	case r.tableBytes > r.maxBytes:
		err = r.exceeded(r.tableBytes)
	case r.tableParts < response.TableParts:
		return routeupdate.Update{}, false, nil
	default:
		update, isComplete = r.table, true
	}
	r.tableIndex, r.table, r.tableParts = 0, routeupdate.Update{}, 0
	return update, isComplete, err
}

// exceeded returns the error of an update or a lease that is too large.
func (r *Reassembler) exceeded(received int) error {
	return inputlimit.Exceeded(inputlimit.AgentUpdate, "agent", int64(received), int64(r.maxBytes))
}

// AddLease adds the part of a lease that a response carries, and returns the lease once all parts
// have been received. A part of a different lease discards the parts received so far.
// The error is an *inputlimit.Error if the lease is too large.
func (r *Reassembler) AddLease(response *Response) (lease account.QuotaLease, isComplete bool, err error) {
	part := response.Lease
	if part == nil || response.LeaseParts > maxParts {
		return account.QuotaLease{}, false, nil
	}
	if isComplete := r.lease.Allocated == nil && r.leaseParts > 0; isComplete &&
		response.LeaseNumber == r.leaseNumber {
		return account.QuotaLease{}, false, nil // surplus part of a lease that is already complete
	}
	if r.leaseParts == 0 || response.LeaseNumber != r.leaseNumber {
		r.leaseNumber, r.leaseParts, r.leaseBytes = response.LeaseNumber, 0, 0
		r.lease = *part
		r.lease.Allocated, r.lease.EvenShares = map[string]account.Amounts{}, nil
	}
	if r.leaseBytes += response.Size; r.leaseBytes > r.maxBytes {
		r.lease, r.leaseNumber, r.leaseParts = account.QuotaLease{}, 0, 0
		return account.QuotaLease{}, false, r.exceeded(r.leaseBytes)
	}
	maps.Copy(r.lease.Allocated, part.Allocated)
	for path, amounts := range part.EvenShares {
		putAmounts(&r.lease.EvenShares, path, amounts)
	}
	r.leaseParts++
	if r.leaseParts < response.LeaseParts {
		return account.QuotaLease{}, false, nil
	}
	lease = r.lease
	if lease.EvenShares == nil {
		lease.EvenShares = r.evenShares
	}
	r.evenShares, r.completeLeaseNumber, r.lease = lease.EvenShares, r.leaseNumber, account.QuotaLease{}
	return lease, true, nil
}
