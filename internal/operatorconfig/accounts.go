package operatorconfig

import (
	"time"

	"coralrelay/internal/fleet/account"
)

// maxMembers bounds the size of a fleet.
const maxMembers = 1024

// Accounts configures how the limits of accounts are allocated to the members. It must be
// the same at all of them.
type Accounts struct {
	Members int `json:"members"` // of a complete fleet; 0 if not known
}

// AllocationConfig returns the configuration for package account.
func (l *Fleet) AllocationConfig() account.LeaseConfig {
	return account.LeaseConfig{
		Epoch:         l.QuotaPeriod.Duration,
		HolderTimeout: l.HolderTimeout.Duration,
		FleetSize:     l.Accounts.Members,
	}
}

func (a *Accounts) check(c *checker, l *Fleet) {
	c.rejectIf(a.Members < 0 || a.Members > maxMembers, "fleet.accounts.members", a.Members, "0 to 1024")
	c.rejectIf(a.Members > 0 && !l.ReplicatedLog.IsEnabled(), "fleet.accounts.members", a.Members, "0, as fleet.record has no voters")
	c.rejectIf(l.ReplicatedLog.IsEnabled() && l.QuotaPeriod.Duration%(2*time.Millisecond) != 0, "fleet.epoch", l.QuotaPeriod, "whole milliseconds, an even number, as fleet.record has voters")
}
