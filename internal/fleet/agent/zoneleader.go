package agent

import (
	"context"
	"sync"
	"time"

	"coralrelay/internal/fleet/logentry"
	"coralrelay/internal/fleet/zonestatus"
)

// proposeZoneChange evaluates all members' reports, and proposes a change of the zone statuses if one is
// due. Only one proposal is pending at a time, so that each is based on the state after the previous one.
// Only the leader calls it.
func (a *Agent) proposeZoneChange(ctx context.Context, now time.Duration, zones zonestatus.State,
	goroutines *sync.WaitGroup) {
	change, reason, due := a.zoneController.Evaluate(now, zones, a.Gossip.ZoneReports(), a.presentMembers())
	if !due {
		return
	}
	select {
	case a.proposalSlot <- struct{}{}:
	default:
		return
	}
	goroutines.Go(func() {
		defer func() { <-a.proposalSlot }()
		a.propose(ctx, logentry.KindZones, now, change, reason)
	})
}
