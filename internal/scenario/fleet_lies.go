package scenario

import (
	"context"
	"fmt"
	"io"
	"math"
	mrand "math/rand/v2"
	"sync"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/fake"
	"coralrelay/internal/fleet/gossip"
	"coralrelay/internal/fleet/quota"
)

// lies has one member with the key accuse sound servers, and strangers without it.
func (s *fleetScene) lies(ctx context.Context, _ *mrand.Rand) error {
	if s.FleetOptions.WithoutAgents {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	accused := []string{"s0", "s1", "s2"}
	speak := func(name string, number int, open bool) error {
		bind, advertise, err := s.AddProxiedAddress(name, number)
		if err != nil {
			return err
		}
		a := gossip.NewMember(name, quota.Config{Epoch: fleetWindow, LeaseTimeout: fleetHold, ReportTTL: 3 * time.Second, MaxOutlierFraction: 0.25}, quota.Guards{},
			func() time.Duration { return time.Duration(time.Now().UnixNano()) })
		wg.Go(func() {
			// What comes of it is seen at the servers, not here.
			_ = a.Run(ctx, gossip.Config{BindAddress: bind, AdvertiseAddress: advertise, Peers: s.Peers(), KeyFile: s.KeyFile, Unencrypted: open,
				Interval: 100 * time.Millisecond, LogOutput: io.Discard})
		})
		wg.Go(func() {
			for fake.Sleep(ctx, 100*time.Millisecond) {
				var sp balance.QuotaUsage
				for _, id := range accused {
					sp.Servers = append(sp.Servers, balance.ServerUsage{ID: id, RecentAttempts: 50, RecentFailures: 50})
				}
				a.ReportQuotaUsage(sp)
			}
		})
		return nil
	}
	if err := speak("liar", 200, false); err != nil {
		return err
	}
	// As many as make a verdict anywhere, were they heard.
	for i := range len(s.Names) + 2 {
		if err := speak(fmt.Sprint("stranger", i), 201+i, true); err != nil {
			return err
		}
	}
	fake.Sleep(ctx, 4*time.Second)
	from := time.Now()
	fake.Sleep(ctx, 4*time.Second)
	share := s.ServerShares(from, time.Now())
	least := math.Inf(1)
	for _, id := range accused {
		least = min(least, share[id])
	}
	s.SetMetric("accused_least_share", least)
	if least < 0.5 {
		s.AddViolation("lies", fmt.Sprintf("a sound server that false members accuse gets %.2f of its share", least))
	}
	return nil
}
