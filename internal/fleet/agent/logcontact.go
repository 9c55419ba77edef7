package agent

import (
	"log/slog"
	"time"

	"coralrelay/internal/fleet/replog"
)

// followsLog reports whether the node follows the zone status of the replicated log, which it does while
// the log is within its lease. Each change is logged, except that a log that is not in contact yet when
// the agent starts is reported only after one lease.
func (a *Agent) followsLog(now time.Duration, view replog.View) bool {
	wasLogged := view.WithinLease != a.loggedContactLost
	isStarting := !view.WithinLease && now-a.startedAt < a.LogLease
	if a.Zones == nil || wasLogged || isStarting {
		return view.WithinLease
	}
	if view.WithinLease {
		slog.Info("zone status follows the replicated log again",
			"component", component, "index", view.State.Index, "leader", view.Leader)
	} else {
		logContactLost(view)
	}
	a.loggedContactLost = !view.WithinLease
	return view.WithinLease
}

// logContactLost logs that the replicated log is out of its lease.
func logContactLost(view replog.View) {
	index, lastContact := uint64(0), "never"
	if view.State != nil {
		index = view.State.Index
	}
	if !view.ConfirmedAt.IsZero() {
		lastContact = time.Since(view.ConfirmedAt).Round(time.Millisecond).String()
	}
	slog.Info("replicated log out of contact, zone status follows its last state and local observations",
		"component", component, "index", index, "last_contact", lastContact)
}

// isLogContactLost reports whether the replicated log has been out of contact for at least timeout. If it
// has never been in contact, the time since the agent's start counts.
func (a *Agent) isLogContactLost(now time.Duration, view replog.View, timeout time.Duration) bool {
	switch {
	case view.WithinLease:
		return false
	case view.ConfirmedAt.IsZero():
		return now-a.startedAt >= timeout
	}
	return time.Since(view.ConfirmedAt) >= timeout
}
