package fleet

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

const (
	// falseReportInterval is the time from one false report of a member to its next.
	falseReportInterval = 100 * time.Millisecond
	// minAccusedShare is what a healthy server has to get of its share, whoever reports it.
	minAccusedShare = 0.5
	// liarAddress and strangerAddress are the numbers of loopback addresses: of the false
	// member with the key, and of the first without it.
	liarAddress, strangerAddress = 200, 201
)

// accused are the servers that false members report as outliers.
var accused = []string{"s0", "s1", "s2"}

// falseReports has one member with the key report healthy servers as outliers, and several
// without the key.
func (r *run) falseReports(ctx context.Context, _ *mrand.Rand) error {
	if r.Options.WithoutAgents {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	if err := r.startFalseMember(ctx, &wg, "liar", liarAddress, false); err != nil {
		return err
	}
	// As many as would be a quorum anywhere, if they were heard.
	for i := range len(r.Names) + 2 {
		if err := r.startFalseMember(ctx, &wg, fmt.Sprint("stranger", i), strangerAddress+i, true); err != nil {
			return err
		}
	}
	fake.Sleep(ctx, 4*time.Second)
	from := time.Now()
	fake.Sleep(ctx, 4*time.Second)
	share := r.ServerShares(from, time.Now())
	least := math.Inf(1)
	for _, server := range accused {
		least = min(least, share[server])
	}
	r.SetMetric("accused_least_share", least)
	if least < minAccusedShare {
		r.AddViolation("lies", fmt.Sprintf("a sound server that false members accuse gets %.2f of its share", least))
	}
	return nil
}

// startFalseMember has a member gossip false reports until ctx ends, without the key if it is
// unencrypted.
func (r *run) startFalseMember(ctx context.Context, wg *sync.WaitGroup, name string, number int,
	unencrypted bool) error {
	bind, advertise, err := r.AddProxiedAddress(name, number)
	if err != nil {
		return err
	}
	limits := quota.Config{
		Epoch:              budgetWindow,
		LeaseTimeout:       leaseTimeout,
		ReportTTL:          3 * time.Second,
		MaxOutlierFraction: 0.25,
	}
	now := func() time.Duration { return time.Duration(time.Now().UnixNano()) }
	member := gossip.NewMember(name, limits, quota.Guards{}, now)
	wg.Go(func() {
		// What comes of it is seen at the servers, not here.
		_ = member.Run(ctx, gossip.Config{
			BindAddress:      bind,
			AdvertiseAddress: advertise,
			Peers:            r.Peers(),
			KeyFile:          r.KeyFile,
			Unencrypted:      unencrypted,
			Interval:         100 * time.Millisecond,
			LogOutput:        io.Discard,
		})
	})
	wg.Go(func() {
		for fake.Sleep(ctx, falseReportInterval) {
			var usage balance.QuotaUsage
			for _, server := range accused {
				failing := balance.ServerUsage{ID: server, RecentAttempts: 50, RecentFailures: 50}
				usage.Servers = append(usage.Servers, failing)
			}
			member.ReportQuotaUsage(usage)
		}
	})
	return nil
}
