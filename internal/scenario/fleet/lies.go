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
	// falseReportInterval is the time between two false reports of a member.
	falseReportInterval = 100 * time.Millisecond
	// minAccusedShare is the minimum fraction of its fair share that a healthy server must receive while
	// false members report it as an outlier.
	minAccusedShare = 0.5
	// falseMemberAddress and firstKeylessAddress are the numbers of the loopback addresses of the
	// false member with the key, and of the first false member without it.
	falseMemberAddress, firstKeylessAddress = 200, 201
)

// accusedServers are the healthy servers that false members report as outliers.
var accusedServers = []string{"s0", "s1", "s2"}

// falseReports starts one false member with the key and several without it, which all report healthy
// servers as outliers, and checks that these servers are not ejected.
func (r *run) falseReports(ctx context.Context, _ *mrand.Rand) error {
	if r.Options.WithoutAgents {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	if err := r.startFalseMember(ctx, &wg, "liar", falseMemberAddress, false); err != nil {
		return err
	}
	// There are enough of these to be a quorum for any node if their messages were accepted.
	for i := range len(r.Names) + 2 {
		if err := r.startFalseMember(
			ctx, &wg, fmt.Sprint("stranger", i), firstKeylessAddress+i, true,
		); err != nil {
			return err
		}
	}
	fake.Sleep(ctx, 4*time.Second)
	from := time.Now()
	fake.Sleep(ctx, 4*time.Second)
	share := r.ServerShares(from, time.Now())
	least := math.Inf(1)
	for _, server := range accusedServers {
		least = min(least, share[server])
	}
	r.SetMetric("accused_least_share", least)
	if least < minAccusedShare {
		r.AddViolation("lies",
			fmt.Sprintf("a healthy server that false members report gets %.2f of its share", least))
	}
	return nil
}

// startFalseMember starts a member that gossips false reports until ctx ends. If unencrypted is set, the
// member does not use the key.
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
		// The effect is checked at the servers, so the member's error is ignored.
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
			for _, server := range accusedServers {
				failing := balance.ServerUsage{ID: server, RecentAttempts: 50, RecentFailures: 50}
				usage.Servers = append(usage.Servers, failing)
			}
			member.ReportQuotaUsage(usage)
		}
	})
	return nil
}
