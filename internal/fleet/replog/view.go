package replog

import (
	"time"

	"coralrelay/internal/fleet/logentry"
)

// The roles of a member, as View.Role.
const (
	RoleLeader   = "leader"
	RoleVoter    = "voter"
	RoleFollower = "follower" // not among the voters
	RoleWaiting  = "waiting"  // among the voters, but without a vote yet
	RoleMemory   = "memory"   // among the voters, without a vote since its disk can't be used
)

// View is what a member knows at one time. It is not changed after it was returned.
type View struct {
	State         *logentry.State // all committed entries known here add up to it
	ConfirmedAt   time.Time       // the latest time at which the leader was known to lead, by this process's clock
	WithinLease   bool            // whether ConfirmedAt is less than a lease ago
	Role          string          // one of the Role constants
	Leader        string          // the leader's name, as far as known
	DiskError     string          // why the disk can't be used; empty if it can
	Path          []string        // members by which the last heartbeat came, from the leader to the upstream
	FollowerCount int             // followers that this member serves
}
