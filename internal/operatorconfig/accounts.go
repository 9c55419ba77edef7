package operatorconfig

import (
	"time"

	"coralrelay/internal/fleet/account"
)

// maxMembers is the maximum number of members of a fleet.
const maxMembers = 1024

// Accounts configures how the limits of accounts are allocated to the members of the fleet. It
// must be the same on all members.
type Accounts struct {
	Members int `json:"members"` // number of members when all are alive; 0 if unknown
}

// AllocationConfig returns the configuration for package account.
func (f *Fleet) AllocationConfig() account.LeaseConfig {
	return account.LeaseConfig{
		Epoch:         f.QuotaPeriod.Duration,
		HolderTimeout: f.HolderTimeout.Duration,
		FleetSize:     f.Accounts.Members,
	}
}

func (a *Accounts) check(c *checker, fleet *Fleet) {
	c.rejectIf(a.Members < 0 || a.Members > maxMembers, "fleet.accounts.members", a.Members, "0 to 1024")
	c.rejectIf(a.Members > 0 && !fleet.ReplicatedLog.IsEnabled(), "fleet.accounts.members", a.Members,
		"0, as fleet.record has no voters")
	c.rejectIf(fleet.ReplicatedLog.IsEnabled() && fleet.QuotaPeriod.Duration%(2*time.Millisecond) != 0,
		"fleet.epoch", fleet.QuotaPeriod, "whole milliseconds, an even number, as fleet.record has voters")
}
