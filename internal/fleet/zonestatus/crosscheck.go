package zonestatus

import "slices"

// crossCheck corrects the evidence of each pair by that of the others. Failures that an isolated
// zone observes are discarded unless most other zones observe them too, and a region is
// unavailable if most of its endpoints are.
func (v *fleetView) crossCheck(isolated []bool) {
	n := len(v.zones)
	original := make([]pairEvidence, len(v.pairs))
	copy(original, v.pairs)
	for from, isIsolated := range isolated {
		if !isIsolated {
			continue
		}
		for to := range n {
			evidence := v.pair(from, to)
			reportsFailure := evidence.unavailable || evidence.failing > maxFailingForRecovery/2
			if reportsFailure && !othersAgree(original, n, from, to) {
				*evidence = pairEvidence{}
			}
		}
	}
	if v.guards.ObservingZone {
		v.shareWorstView()
	}
	for from := range n {
		v.extendToRegion(from)
	}
}

// othersAgree reports whether a zone is unavailable as observed from most of the other zones
// that have evidence of it. If two of three zones are down, all zones observe that; the failures
// that an isolated zone observes are observed by no other zone.
func othersAgree(pairs []pairEvidence, zoneCount, from, to int) bool {
	known, unavailable := 0, 0
	for other := range zoneCount {
		evidence := &pairs[other*zoneCount+to]
		if other == from || !evidence.known {
			continue
		}
		known++
		if evidence.unavailable {
			unavailable++
		}
	}
	return 2*unavailable > known
}

// shareWorstView marks a zone as unavailable from all zones if it is unavailable from any one.
func (v *fleetView) shareWorstView() {
	for to := range v.zones {
		unavailable := v.unavailableCount(to) > 0
		for from := range v.zones {
			v.pair(from, to).unavailable = unavailable
		}
	}
}

// extendToRegion marks a whole region as unavailable from one zone once most of the region's
// endpoints are. The observing zone itself is left out.
func (v *fleetView) extendToRegion(from int) {
	for _, region := range v.cfg.regionNames() {
		total, unavailable := 0.0, 0.0
		for to, zoneRegion := range v.regions {
			if zoneRegion != region {
				continue
			}
			total += v.stats[to].endpoints
			if v.pair(from, to).unavailable {
				unavailable += v.stats[to].endpoints
			}
		}
		if 2*unavailable <= total {
			continue
		}
		for to, zoneRegion := range v.regions {
			if zoneRegion == region && to != from {
				v.pair(from, to).unavailable = true
			}
		}
	}
}

// failsForMost reports whether a zone is unavailable from at least minReporters zones and three
// quarters of the zones that have evidence of it. Zones without evidence then evacuate it too.
func (v *fleetView) failsForMost(to int) bool {
	known, unavailable := 0, 0
	for from := range v.zones {
		evidence := v.pair(from, to)
		if evidence.unavailable || evidence.known {
			known++
		}
		if evidence.unavailable {
			unavailable++
		}
	}
	return unavailable >= minReporters && 4*unavailable >= 3*known
}

// unavailableCount returns the number of zones from which a zone is unavailable.
func (v *fleetView) unavailableCount(to int) (count int) {
	for from := range v.zones {
		if v.pair(from, to).unavailable {
			count++
		}
	}
	return count
}

// isUnavailable reports whether zone to is unavailable as observed from zone from.
func (v *fleetView) isUnavailable(from, to string) bool {
	fromIndex, fromKnown := slices.BinarySearch(v.zones, from)
	toIndex, toKnown := slices.BinarySearch(v.zones, to)
	return fromKnown && toKnown && v.pair(fromIndex, toIndex).unavailable
}
