package replog

import (
	"time"

	"coralrelay/internal/fleet/logentry"
)

// The values of View.Role.
const (
	RoleLeader   = "leader"
	RoleVoter    = "voter"
	RoleFollower = "follower" // not in Options.Voters
	RoleWaiting  = "waiting"  // in Options.Voters, but without a vote yet
	RoleMemory   = "memory"   // in Options.Voters, but without a vote since its disk is unusable
)

// View is a member's knowledge of the log and the fleet at one time. It is never modified after
// it was returned.
type View struct {
	State         *logentry.State // the result of all committed entries known to this member
	ConfirmedAt   time.Time       // last time the leader was known to lead, by this process's clock
	WithinLease   bool            // whether ConfirmedAt is less than a lease ago
	Role          string          // one of the Role constants
	Leader        string          // the last known leader's name; empty if none is known
	DiskError     string          // why the disk is unusable; empty if it is usable
	Path          []string        // members that relayed the last heartbeat, from the leader to the upstream
	FollowerCount int             // followers that this member serves
}
