package slo

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

// checkZones returns an error for the first zone that the contract may not use.
func (c *Contract) checkZones(shares Shares) error {
	for _, zone := range slices.Sorted(maps.Keys(shares)) {
		if len(c.Zones) > 0 && !slices.Contains(c.Zones, zone) {
			return fmt.Errorf("contract %q: may not use zone %.64q", c.Name, zone)
		}
	}
	return nil
}

// toThousandths returns a share rounded to thousandths, or false if it is not within 0 to 1.
func toThousandths(share float64) (int, bool) {
	if !(share >= 0 && share <= 1) {
		return 0, false
	}
	return int(math.Round(share * thousandths)), true
}

// normalize checks an allocation and replaces its shares by a copy rounded to thousandths.
func (a *Allocation) normalize(contract *Contract) error {
	if len(a.Shares) > maxZones {
		return fmt.Errorf("contract %q: %d zones, at most %d", contract.Name, len(a.Shares), maxZones)
	}
	sum, shares := 0, make(Shares, len(a.Shares))
	for _, zone := range slices.Sorted(maps.Keys(a.Shares)) {
		share, ok := toThousandths(a.Shares[zone])
		if !ok || !isValidName(zone, maxNameBytes) {
			return fmt.Errorf("contract %q: zone %.64q: a share is 0 to 1", contract.Name, zone)
		}
		sum += share
		if share > 0 {
			shares[zone] = float64(share) / thousandths
		}
	}
	if sum != thousandths {
		return fmt.Errorf("contract %q: shares add up to %d thousandths", contract.Name, sum)
	}
	overflow, ok := toThousandths(a.Overflow)
	if !ok || len(a.UnmetReason) > maxReasonBytes {
		return fmt.Errorf("contract %q: over is 0 to 1, a reason at most 256 bytes", contract.Name)
	}
	a.Shares, a.Overflow = shares, float64(overflow)/thousandths
	return contract.checkZones(shares)
}

// encodedSize returns a generous estimate of the size of the allocation's JSON, in bytes.
func (a *Allocation) encodedSize() int {
	const fieldBytes, bytesPerShare = 120, 10
	size := fieldBytes + len(a.Contract) + len(a.UnmetReason)
	for zone := range a.Shares {
		size += len(zone) + bytesPerShare
	}
	return size
}
