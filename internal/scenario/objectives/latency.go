package objectives

import (
	"context"
	"slices"
	"time"

	"coralrelay/internal/scenario/testbed"
)

// How long servers take to answer: by zone, and longer where a zone is nearly full.
const (
	nearestDelay  = 10 * time.Millisecond // in the first zone
	zoneDelayStep = 5 * time.Millisecond  // from one zone to the next
	slowZoneDelay = 60 * time.Millisecond

	overloadFrom     = 0.9 // of what a zone can do
	overloadDelay    = 400 * time.Millisecond
	maxOverloadDelay = 60 * time.Millisecond

	loadInterval = 200 * time.Millisecond // from one look at zones' loads to the next
	loadWindow   = time.Second
)

// setSlowZones makes some zones slow and all others as usual.
func (r *run) setSlowZones(slow ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, zone := range r.Testbed.Zones {
		r.baseDelays[zone] = nearestDelay + time.Duration(i)*zoneDelayStep
		if slices.Contains(slow, zone) {
			r.baseDelays[zone] = slowZoneDelay
		}
	}
}

// answerDelay returns how long a server takes now.
func (r *run) answerDelay(server string) time.Duration {
	zone := r.Zone(server)
	r.mu.Lock()
	defer r.mu.Unlock()
	overload := max(0, r.zoneLoads[zone]-overloadFrom)
	return r.baseDelays[zone] + min(time.Duration(overload*float64(overloadDelay)), maxOverloadDelay)
}

// updateZoneLoads notes how full zones are, which slows their servers down, until ctx ends.
func (r *run) updateZoneLoads(ctx context.Context) {
	tick := time.NewTicker(loadInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			for _, zone := range r.Testbed.Zones {
				load := r.zoneLoad(zone, now.Add(-loadWindow), now)
				r.mu.Lock()
				r.zoneLoads[zone] = load
				r.mu.Unlock()
			}
		}
	}
}

// zoneLoad returns what a zone's servers were asked between two times, over what they can do
// warm.
func (r *run) zoneLoad(zone string, from, until time.Time) float64 {
	capacity := float64(len(r.ServersIn(zone))) * r.Testbed.Rate / float64(r.Options.Servers) / testbed.UsualLoad
	return float64(len(r.FirstLinesInto(zone, from, until))) / until.Sub(from).Seconds() / capacity
}

// peakLoad returns the greatest load of a zone in any two seconds between two times.
func (r *run) peakLoad(zone string, from, until time.Time) (peak float64) {
	const window = 2 * time.Second
	for at := from; !at.Add(window).After(until); at = at.Add(window / 4) {
		peak = max(peak, r.zoneLoad(zone, at, at.Add(window)))
	}
	return peak
}
