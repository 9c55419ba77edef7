package main

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"time"

	"coralrelay/internal/route"
)

const (
	// rejectionLogInterval is the least time between two logs of rejections.
	rejectionLogInterval = 10 * time.Second
	// maxLoggedRejections is how many kinds of rejections are logged at a time.
	maxLoggedRejections = 8
)

// rejectionLog logs which limits of accounts rejected requests, the commonest ones now and then.
type rejectionLog struct {
	isPending bool      // some were not logged yet
	loggedAt  time.Time // the last time
	logged    map[route.Rejection]uint64
}

// log logs the limiter's rejections since the last log, if it is time for it.
func (l *rejectionLog) log(limiter *route.Limiter) {
	now := time.Now()
	if !l.isPending || now.Sub(l.loggedAt) < rejectionLogInterval {
		return
	}
	l.isPending = false
	total := limiter.Rejections()
	unlogged := maps.Clone(total)
	for rejection, count := range l.logged {
		if unlogged[rejection] -= count; unlogged[rejection] == 0 {
			delete(unlogged, rejection)
		}
	}
	l.loggedAt, l.logged = now, total
	order := slices.SortedFunc(maps.Keys(unlogged), func(a, b route.Rejection) int {
		return cmp.Or(
			cmp.Compare(unlogged[b], unlogged[a]), // the commonest first
			cmp.Compare(a.Level, b.Level),
			cmp.Compare(a.Resource, b.Resource),
		)
	})
	for _, rejection := range order[:min(maxLoggedRejections, len(order))] {
		slog.Warn("requests rejected by a limit of their route", "component", componentRoutes,
			"account", rejection.Account, "level", rejection.Level, "limit", rejection.Resource,
			"count", unlogged[rejection], "since_start", total[rejection])
	}
	if omitted := len(order) - maxLoggedRejections; omitted > 0 {
		slog.Warn("requests rejected by a limit of their route", "component", componentRoutes, "omitted_kinds", omitted)
	}
}
