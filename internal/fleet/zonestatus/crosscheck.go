package zonestatus

import "slices"

// crossCheck weighs the pairs against one another: a zone that is isolated accuses nobody,
// and a region most of whose endpoints are unavailable is unavailable.
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
			accuses := evidence.unavailable || evidence.failing > maxFailingForRecovery/2
			if accuses && !othersAgree(original, n, from, to) {
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

// othersAgree reports whether to most other zones that know a zone it is unavailable as well.
// Two dead zones of three are observed by all; an isolated zone is alone with what it observes.
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

// shareWorstView gives all zones the worst that one observes.
func (v *fleetView) shareWorstView() {
	for to := range v.zones {
		unavailable := v.unavailableCount(to) > 0
		for from := range v.zones {
			v.pair(from, to).unavailable = unavailable
		}
	}
}

// extendToRegion makes the rest of a region unavailable too once most of its endpoints are,
// but for the observing zone itself.
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

// failsForMost reports whether a zone is unavailable to so many of those that know it that
// zones which don't know follow them.
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

// unavailableCount is to how many zones one is unavailable.
func (v *fleetView) unavailableCount(to int) (count int) {
	for from := range v.zones {
		if v.pair(from, to).unavailable {
			count++
		}
	}
	return count
}

// isUnavailable is a pair's evidence by the zones' names.
func (v *fleetView) isUnavailable(from, to string) bool {
	fromIndex, fromKnown := slices.BinarySearch(v.zones, from)
	toIndex, toKnown := slices.BinarySearch(v.zones, to)
	return fromKnown && toKnown && v.pair(fromIndex, toIndex).unavailable
}
