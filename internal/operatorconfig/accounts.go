package operatorconfig

import (
	"time"

	"coralrelay/internal/fleet/account"
)

// mostMembers is how many there may be.
const maxMembers = 1024

// Accounts is how the limits of accounts are dealt over the members. All have it alike.
type Accounts struct {
	Members int `json:"members"` // when all are well; 0 where nobody says
}

// Deal is what package account takes.
func (l *Fleet) AllocationConfig() account.LeaseConfig {
	return account.LeaseConfig{Epoch: l.Epoch.Duration, HolderTimeout: l.Hold.Duration, FleetSize: l.Accounts.Members}
}

func (a *Accounts) check(c *checker, l *Fleet) {
	c.rejectIf(a.Members < 0 || a.Members > maxMembers, "fleet.accounts.members", a.Members, "0 to 1024")
	c.rejectIf(a.Members > 0 && !l.ReplicatedLog.IsEnabled(), "fleet.accounts.members", a.Members, "0, as fleet.record has no voters")
	c.rejectIf(l.ReplicatedLog.IsEnabled() && l.Epoch.Duration%(2*time.Millisecond) != 0, "fleet.epoch", l.Epoch, "whole milliseconds, an even number, as fleet.record has voters")
}
