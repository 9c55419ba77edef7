package objectives

import (
	"context"
	"slices"
	"time"

	"coralrelay/internal/scenario/testbed"
)

// Parameters of the servers' response times, which depend on the zone and increase with its load.
const (
	nearestDelay  = 10 * time.Millisecond // response time in the first zone
	zoneDelayStep = 5 * time.Millisecond  // increase from one zone to the next
	slowZoneDelay = 60 * time.Millisecond

	overloadFrom     = 0.9 // share of a zone's capacity
	overloadDelay    = 400 * time.Millisecond
	maxOverloadDelay = 60 * time.Millisecond

	loadInterval = 200 * time.Millisecond // time between two measurements of the zones' loads
	loadWindow   = time.Second
)

// setSlowZones makes the given zones slow and resets all others to their usual delays.
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

// answerDelay returns the current response time of a server.
func (r *run) answerDelay(server string) time.Duration {
	zone := r.Zone(server)
	r.mu.Lock()
	defer r.mu.Unlock()
	overload := max(0, r.zoneLoads[zone]-overloadFrom)
	return r.baseDelays[zone] + min(time.Duration(overload*float64(overloadDelay)), maxOverloadDelay)
}

// updateZoneLoads measures the load of each zone, which determines its servers' delay, until ctx ends.
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

// zoneLoad returns the rate of first lines that a zone's servers received between two times, as a
// multiple of their warm capacity.
func (r *run) zoneLoad(zone string, from, until time.Time) float64 {
	capacity := float64(len(r.ServersIn(zone))) * r.Testbed.Rate /
		float64(r.Options.Servers) / testbed.UsualLoad
	return float64(len(r.FirstLinesInto(zone, from, until))) / until.Sub(from).Seconds() / capacity
}

// peakLoad returns the maximum load of a zone in any two seconds between two times.
func (r *run) peakLoad(zone string, from, until time.Time) (peak float64) {
	const window = 2 * time.Second
	for at := from; !at.Add(window).After(until); at = at.Add(window / 4) {
		peak = max(peak, r.zoneLoad(zone, at, at.Add(window)))
	}
	return peak
}
