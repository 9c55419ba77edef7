package agent

import (
	"log/slog"
	"time"

	"coralrelay/internal/fleet/replog"
)

// followsLog reports whether the log's zone status holds, as it is within its lease. It logs
// when that begins or ends.
func (a *Agent) followsLog(now time.Duration, view replog.View) bool {
	wasLogged := view.WithinLease != a.loggedStale
	isStarting := !view.WithinLease && now-a.startedAt < a.LogLease
	if a.Zones == nil || wasLogged || isStarting {
		return view.WithinLease
	}
	if view.WithinLease {
		slog.Info("zone status follows the replicated log again",
			"component", component, "index", view.State.Index, "leader", view.Leader)
	} else {
		logStaleZones(view)
	}
	a.loggedStale = !view.WithinLease
	return view.WithinLease
}

func logStaleZones(view replog.View) {
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

// lostLog reports whether the log has been out of contact for the timeout.
func (a *Agent) lostLog(now time.Duration, view replog.View, timeout time.Duration) bool {
	switch {
	case view.WithinLease:
		return false
	case view.ConfirmedAt.IsZero():
		return now-a.startedAt >= timeout
	}
	return time.Since(view.ConfirmedAt) >= timeout
}
