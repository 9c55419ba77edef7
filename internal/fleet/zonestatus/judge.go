package zonestatus

import "slices"

// median returns the lower one, which is that of a member who was there.
func median(all []float64, none float64) float64 {
	if len(all) == 0 {
		return none
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}

// settle turns a pair's counts into what is known. A zone is lost if as many members as it
// takes, and half of those who asked enough, were served nothing: one false member is
// never enough, and of many it takes half.
func (p *pair) settle(quorum int) {
	p.told, p.heard = len(p.bads), len(p.dims)
	p.known = p.told >= quorum
	p.bad, p.faint = median(p.bads, 0), median(p.dims, 0)
	p.lost = p.accused >= quorum && (2*p.accused >= p.told || quorum < accusers)
	if p.heard < quorum {
		p.heard = 0
	}
}

// stock takes the medians of what there is in each zone.
func (v *view) stock(at map[string]int, heard []*Report) {
	n := len(v.zones)
	all := make([][4][]float64, n)
	for i := range all {
		for k := range all[i] {
			all[i][k] = make([]float64, 0, len(heard))
		}
	}
	for _, w := range heard {
		for i := range w.Observations {
			s := &w.Observations[i]
			to, ok := at[s.Zone]
			if !ok {
				continue
			}
			all[to][0] = append(all[to][0], float64(s.Endpoints))
			all[to][1] = append(all[to][1], float64(s.WarmingUp))
			if s.Load >= 0 {
				all[to][2] = append(all[to][2], s.Load)
			}
			all[to][3] = append(all[to][3], s.share())
		}
	}
	v.stocks = make([]stock, n)
	for i := range all {
		v.stocks[i] = stock{median(all[i][0], 0), median(all[i][1], 0), median(all[i][2], -1), median(all[i][3], 0)}
	}
}

// judge weighs the pairs against one another: who is cut off himself accuses nobody, and a
// region most of whose servers are lost is lost.
func (v *view) judge(wide []bool) {
	n := len(v.zones)
	first := make([]pair, len(v.pairs))
	copy(first, v.pairs)
	for from, w := range wide {
		for to := range n {
			if p := v.pair(from, to); w && (p.lost || p.bad > back/2) && !agreed(first, n, from, to) {
				*p = pair{}
			}
		}
	}
	if v.guards.ObservingZone {
		v.alike()
	}
	for from := range n {
		v.dragged(from)
	}
}

// agreed tells whether most other zones that know a zone hold it for lost too. Two dead
// zones of three are seen so by all; who is cut off is alone with what he sees.
func agreed(pairs []pair, n, from, to int) bool {
	known, lost := 0, 0
	for other := range n {
		if p := &pairs[other*n+to]; other != from && p.known {
			if known++; p.lost {
				lost++
			}
		}
	}
	return 2*lost > known
}

// alike gives all zones the worst that one sees.
func (v *view) alike() {
	for to := range v.zones {
		any := false
		for from := range v.zones {
			any = any || v.pair(from, to).lost
		}
		for from := range v.zones {
			v.pair(from, to).lost = any
		}
	}
}

// dragged holds the rest of a region for lost too once most of its servers are. A zone's
// own part of it stays.
func (v *view) dragged(from int) {
	for _, region := range v.cfg.regions() {
		all, lost := 0.0, 0.0
		for to, r := range v.region {
			if r == region {
				all += v.stocks[to].servers
				if v.pair(from, to).lost {
					lost += v.stocks[to].servers
				}
			}
		}
		if 2*lost <= all {
			continue
		}
		for to, r := range v.region {
			if r == region && to != from {
				v.pair(from, to).lost = true
			}
		}
	}
}

// followed tells whether a zone fails for everybody who can tell, and for so many that
// those who can't tell leave it with the others.
func (v *view) followed(to int) bool {
	known, lost := 0, 0
	for from := range v.zones {
		if p := v.pair(from, to); p.lost {
			known++
			lost++
		} else if p.known {
			known++
		}
	}
	return lost >= accusers && 4*lost >= 3*known
}

// answers tells whether a zone seems to serve again: members know of servers there, and no
// more than some fail.
func (p *pair) answers() bool { return p.heard > 0 && !p.lost && p.faint <= back }
