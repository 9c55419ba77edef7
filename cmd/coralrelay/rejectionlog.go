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
	// rejectionLogInterval is the minimum time between two logs of rejections.
	rejectionLogInterval = 10 * time.Second
	// maxLoggedRejections bounds the kinds of rejections in one log.
	maxLoggedRejections = 8
)

// rejectionLog logs at intervals which account limits rejected requests, the most frequent ones first.
type rejectionLog struct {
	hasUnlogged bool                       // requests were rejected since the last log
	loggedAt    time.Time                  // when rejections were last logged
	logged      map[route.Rejection]uint64 // the counts at the last log
}

// log logs the limiter's rejections since the last log, unless that is less than rejectionLogInterval
// ago.
func (l *rejectionLog) log(limiter *route.Limiter) {
	now := time.Now()
	if !l.hasUnlogged || now.Sub(l.loggedAt) < rejectionLogInterval {
		return
	}
	l.hasUnlogged = false
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
			cmp.Compare(unlogged[b], unlogged[a]), // most frequent first
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
