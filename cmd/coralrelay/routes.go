package main

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/dispatch"
	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/fleet/agentapi/routeupdate"
	"coralrelay/internal/logging"
	"coralrelay/internal/route"
)

const (
	// mostUses bounds the paths that the agent is told of in one word: those used most.
	maxReportedPaths = 4000
	// refusalsEvery is the least time between two log lines on refusals, mostRefusals how
	// many kinds of them one has.
	rejectionLogInterval, maxLoggedRejections = 10 * time.Second, 8
)

// routes are the operators' routes and the rights on them, as the agent tells them. It is a
// decide.Router. What the agent says is taken on the link's goroutine, and set for the Core's.
type fleetRouter struct {
	eventLoop *dispatch.EventLoop
	halfEpoch time.Duration // half of an epoch

	// Of the link's goroutine.
	reassembler       agentapi.Reassembler
	table             *route.Table // nil for none
	reportedHalfEpoch int64        // half epoch that the agent was last told of
	invalidTableLog   logging.Throttled

	// Of the Core's goroutine.
	activeTable           *route.Table
	limiter               *route.Limiter
	agentClockOffset      time.Duration // of the agent's clock over the module's
	hasUnloggedRejections bool          // and not logged yet
	rejectionsLoggedAt    time.Time     // when refusals were last logged
	loggedRejections      map[route.Rejection]uint64
}

// newRoutes returns routes without a table: all goes anywhere.
func newFleetRouter(eventLoop *dispatch.EventLoop, cfg account.LeaseConfig) (*fleetRouter, error) {
	limiter, err := route.NewLimiter(cfg)
	if err != nil {
		return nil, err
	}
	return &fleetRouter{eventLoop: eventLoop, halfEpoch: cfg.Epoch / 2, limiter: limiter, loggedRejections: map[route.Rejection]uint64{}}, nil
}

func (r *fleetRouter) now() time.Duration { return r.eventLoop.Now() + r.agentClockOffset }

func (r *fleetRouter) find(request *dispatch.Request) *route.Route {
	if r.activeTable == nil {
		return nil
	}
	query := route.Query{Class: request.Class, Tenant: request.Tenant, Group: request.Group, Returning: request.Returned, Retry: request.Retry}
	if request.Group != "" {
		query.GroupHash = route.Hash(request.Group)
	}
	return r.activeTable.Find(query)
}

// Admit implements decide.Router.
func (r *fleetRouter) Admit(request *dispatch.Request) (*route.Route, *balance.ZoneConstraint) {
	matched := r.find(request)
	if matched == nil {
		return nil, nil
	}
	if ok, over := r.limiter.Admit(r.now(), matched, request.Retry); !ok {
		r.hasUnloggedRejections = true
		return nil, &balance.ZoneConstraint{Name: over}
	}
	return matched, matched.Bound
}

// Adopt implements decide.Router.
func (r *fleetRouter) Adopt(request *dispatch.Request) (*route.Route, *balance.ZoneConstraint) {
	matched := r.find(request)
	if matched == nil {
		return nil, nil
	}
	r.limiter.ConnectionOpened(matched)
	return matched, matched.Bound
}

// Spent implements decide.Router.
func (r *fleetRouter) AddUsage(on *route.Route, again, probes int) {
	r.limiter.RecordAttempts(r.now(), on, again, again, probes)
}

// Closed implements decide.Router.
func (r *fleetRouter) Release(on *route.Route) { r.limiter.ConnectionClosed(on) }

// say adds to what the agent is told: once in a half epoch what was used.
func (r *fleetRouter) fillReport(report *agentapi.Report) {
	if r.table != nil {
		report.TableIndex = r.table.Index
	}
	r.reassembler.FillProgress(report)
	r.eventLoop.RunOnLoop(func(now time.Duration) {
		if halfEpoch := int64((now + r.agentClockOffset) / r.halfEpoch); halfEpoch != r.reportedHalfEpoch && report.LeaseNumber+report.TableIndex > 0 {
			r.reportedHalfEpoch = halfEpoch
			usage := r.limiter.Usage(now + r.agentClockOffset)
			report.Usage = &usage
		}
		r.logRejections()
	})
	if report.Usage != nil {
		keepMostUsedPaths(report.Usage)
	}
}

// bound leaves the paths that are used most, if there are too many.
func keepMostUsedPaths(usage *account.Usage) {
	if max(len(usage.Used), len(usage.UsedBefore), len(usage.Demand)) <= maxReportedPaths {
		return
	}
	weight := func(path string) float64 {
		return usage.UsedBefore[path].Setups + usage.Demand[path].Setups + usage.Demand[path].Connections
	}
	for _, amounts := range []map[string]account.Amounts{usage.Used, usage.UsedBefore, usage.Demand} {
		order := slices.SortedFunc(maps.Keys(amounts), func(a, b string) int {
			return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
		})
		for _, path := range order[min(maxReportedPaths, len(order)):] {
			delete(amounts, path)
		}
	}
}

// take takes what the agent answers. A table that can't be used leaves the one in force, and
// is asked for anew, whole.
func (r *fleetRouter) handleResponse(response *agentapi.Response) {
	if update, ok := r.reassembler.AddTable(response); ok {
		r.applyUpdate(update)
	}
	lease, ok := r.reassembler.AddLease(response)
	if !ok {
		return
	}
	r.eventLoop.RunOnLoop(func(now time.Duration) {
		r.agentClockOffset = time.Duration(lease.HalfEpoch+1)*r.halfEpoch - lease.ExpiresAt
		r.limiter.SetLease(lease, now+r.agentClockOffset)
	})
}

func (r *fleetRouter) applyUpdate(update routeupdate.Update) {
	var next *route.Table
	var err error
	if r.table == nil || update.Complete {
		next, err = route.Compile(update)
	} else {
		next, err = r.table.Apply(update)
	}
	if r.table = next; err != nil {
		r.table = nil
		r.invalidTableLog.Warn("the fleet's routes can't be used, those before stay", "err", err)
		return
	}
	r.eventLoop.RunOnLoop(func(time.Duration) { r.activeTable = next })
	if update.Complete || len(update.Set)+len(update.Removed)+len(update.Allocations) > 0 {
		slog.Info("routes changed", "set", len(update.Set), "gone", len(update.Removed), "steered", len(update.Allocations), "whole", update.Complete)
	}
}

// lost is told when the agent can't be reached: what was used is told anew.
func (r *fleetRouter) agentLost() { r.reportedHalfEpoch = 0 }

// logRefusals says what was refused since it last did, the most of it.
func (r *fleetRouter) logRejections() {
	now := time.Now()
	if !r.hasUnloggedRejections || now.Sub(r.rejectionsLoggedAt) < rejectionLogInterval {
		return
	}
	r.hasUnloggedRejections = false
	total := r.limiter.Rejections()
	unlogged := maps.Clone(total)
	for rejection, n := range r.loggedRejections {
		if unlogged[rejection] -= n; unlogged[rejection] == 0 {
			delete(unlogged, rejection)
		}
	}
	r.rejectionsLoggedAt, r.loggedRejections = now, total
	order := slices.SortedFunc(maps.Keys(unlogged), func(a, b route.Rejection) int {
		return cmp.Or(cmp.Compare(unlogged[b], unlogged[a]), cmp.Compare(a.Level, b.Level), cmp.Compare(a.Resource, b.Resource))
	})
	for _, rejection := range order[:min(maxLoggedRejections, len(order))] {
		slog.Warn("transactions refused: no room on their route", "account", rejection.Account, "level", rejection.Level,
			"limit", rejection.Resource, "count", unlogged[rejection], "since_start", total[rejection])
	}
	if omitted := len(order) - maxLoggedRejections; omitted > 0 {
		slog.Warn("transactions refused: no room on their route", "further_kinds", omitted)
	}
}
