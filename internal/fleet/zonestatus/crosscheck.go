package zonestatus

import "slices"

// median returns the lower one, which is that of a member who was there.
func median(values []float64, fallback float64) float64 {
	if len(values) == 0 {
		return fallback
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// settle turns a pair's counts into what is known. A zone is lost if as many members as it
// takes, and half of those who asked enough, were served nothing: one false member is
// never enough, and of many it takes half.
func (p *pairEvidence) summarize(quorum int) {
	p.reporters, p.receivers = len(p.failingReported), len(p.failingSeen)
	p.known = p.reporters >= quorum
	p.failing, p.failingUnconfirmed = median(p.failingReported, 0), median(p.failingSeen, 0)
	p.unavailable = p.unavailableReports >= quorum && (2*p.unavailableReports >= p.reporters || quorum < minReporters)
	if p.receivers < quorum {
		p.receivers = 0
	}
}

// stock takes the medians of what there is in each zone.
func (v *fleetView) collectStats(zoneIndex map[string]int, reports []*Report) {
	n := len(v.zones)
	all := make([][4][]float64, n)
	for i := range all {
		for k := range all[i] {
			all[i][k] = make([]float64, 0, len(reports))
		}
	}
	for _, report := range reports {
		for i := range report.Observations {
			observation := &report.Observations[i]
			to, ok := zoneIndex[observation.Zone]
			if !ok {
				continue
			}
			all[to][0] = append(all[to][0], float64(observation.Endpoints))
			all[to][1] = append(all[to][1], float64(observation.WarmingUp))
			if observation.Load >= 0 {
				all[to][2] = append(all[to][2], observation.Load)
			}
			all[to][3] = append(all[to][3], observation.failingFraction())
		}
	}
	v.stats = make([]zoneStats, n)
	for i := range all {
		v.stats[i] = zoneStats{median(all[i][0], 0), median(all[i][1], 0), median(all[i][2], -1), median(all[i][3], 0)}
	}
}

// judge weighs the pairs against one another: who is cut off himself accuses nobody, and a
// region most of whose servers are lost is lost.
func (v *fleetView) crossCheck(isolated []bool) {
	n := len(v.zones)
	original := make([]pairEvidence, len(v.pairs))
	copy(original, v.pairs)
	for from, isIsolated := range isolated {
		for to := range n {
			if evidence := v.pair(from, to); isIsolated && (evidence.unavailable || evidence.failing > maxFailingForRecovery/2) && !othersAgree(original, n, from, to) {
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

// agreed tells whether most other zones that know a zone hold it for lost too. Two dead
// zones of three are seen so by all; who is cut off is alone with what he sees.
func othersAgree(pairs []pairEvidence, zoneCount, from, to int) bool {
	known, unavailable := 0, 0
	for other := range zoneCount {
		if evidence := &pairs[other*zoneCount+to]; other != from && evidence.known {
			if known++; evidence.unavailable {
				unavailable++
			}
		}
	}
	return 2*unavailable > known
}

// alike gives all zones the worst that one sees.
func (v *fleetView) shareWorstView() {
	for to := range v.zones {
		unavailable := false
		for from := range v.zones {
			unavailable = unavailable || v.pair(from, to).unavailable
		}
		for from := range v.zones {
			v.pair(from, to).unavailable = unavailable
		}
	}
}

// dragged holds the rest of a region for lost too once most of its servers are. A zone's
// own part of it stays.
func (v *fleetView) extendToRegion(from int) {
	for _, region := range v.cfg.regionNames() {
		total, unavailable := 0.0, 0.0
		for to, zoneRegion := range v.regions {
			if zoneRegion == region {
				total += v.stats[to].endpoints
				if v.pair(from, to).unavailable {
					unavailable += v.stats[to].endpoints
				}
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

// followed tells whether a zone fails for everybody who can tell, and for so many that
// those who can't tell leave it with the others.
func (v *fleetView) failsForMost(to int) bool {
	known, unavailable := 0, 0
	for from := range v.zones {
		if evidence := v.pair(from, to); evidence.unavailable {
			known++
			unavailable++
		} else if evidence.known {
			known++
		}
	}
	return unavailable >= minReporters && 4*unavailable >= 3*known
}

// answers tells whether a zone seems to serve again: members know of servers there, and no
// more than some fail.
func (p *pairEvidence) seemsRecovered() bool {
	return p.receivers > 0 && !p.unavailable && p.failingUnconfirmed <= maxFailingForRecovery
}
