package main

import (
	"time"

	"coralrelay/internal/fleet/gossip"
	"coralrelay/internal/fleet/quota"
	"coralrelay/internal/mutation"
	"coralrelay/internal/operatorconfig"
)

// newMember returns this agent's gossip member, which does not gossip until its method Run is called.
func newMember(fleet operatorconfig.Fleet, clock func() time.Duration) *gossip.Member {
	config := quota.Config{
		Epoch:              fleet.QuotaPeriod.Duration,
		LeaseTimeout:       fleet.HolderTimeout.Duration,
		ReportTTL:          fleet.ReportTTL.Duration,
		RetryRatio:         fleet.RetryRatio,
		MaxOutlierFraction: fleet.MaxEjectedShare,
	}
	member := gossip.NewMember(fleet.Name, config, disabledQuotaGuards(), clock)
	member.Zone = fleet.Zone
	if fleet.ReplicatedLog.IsEnabled() {
		member.ReplogAddress = fleet.ReplicatedLog.AdvertisedAddr()
	}
	return member
}

// gossipConfig returns the gossip member's addresses, peers, encryption key file and interval.
func gossipConfig(fleet operatorconfig.Fleet) gossip.Config {
	return gossip.Config{
		BindAddress:      fleet.Bind,
		AdvertiseAddress: fleet.Advertise,
		Peers:            fleet.Peers,
		KeyFile:          fleet.KeyFile,
		Unencrypted:      mutation.Enabled("open"),
		Interval:         fleet.GossipInterval.Duration,
		LogOutput:        libraryLog{},
	}
}
