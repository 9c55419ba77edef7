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

// maxReportedPaths bounds the paths in one report to the agent: those used most.
const maxReportedPaths = 4000

// fleetRouter routes requests by the tables and the quota leases that the agent sends. It is a
// dispatch.Router. Responses are handled on the client's goroutine, which sets what the event
// loop goes by.
type fleetRouter struct {
	eventLoop *dispatch.EventLoop
	halfEpoch time.Duration

	// Of the client's goroutine.
	reassembler       agentapi.Reassembler
	table             *route.Table // nil for none
	reportedHalfEpoch int64        // the last one whose usage was reported
	invalidTableLog   logging.Throttled

	// Of the event loop's goroutine.
	activeTable      *route.Table
	limiter          *route.Limiter
	agentClockOffset time.Duration // of the agent's clock over the event loop's
	rejections       rejectionLog
}

// newFleetRouter returns a router without a table: requests may go anywhere.
func newFleetRouter(eventLoop *dispatch.EventLoop, cfg account.LeaseConfig) (*fleetRouter, error) {
	limiter, err := route.NewLimiter(cfg)
	if err != nil {
		return nil, err
	}
	return &fleetRouter{
		eventLoop:  eventLoop,
		halfEpoch:  cfg.Epoch / 2,
		limiter:    limiter,
		rejections: rejectionLog{logged: map[route.Rejection]uint64{}},
	}, nil
}

// now is the agent's time, on the event loop.
func (r *fleetRouter) now() time.Duration { return r.eventLoop.Now() + r.agentClockOffset }

// find returns the route that a request matches; nil for none.
func (r *fleetRouter) find(request *dispatch.Request) *route.Route {
	if r.activeTable == nil {
		return nil
	}
	query := route.Query{
		Class:     request.Class,
		Tenant:    request.Tenant,
		Group:     request.Group,
		Returning: request.Returned,
		Retry:     request.Retry,
	}
	if request.Group != "" {
		query.GroupHash = route.Hash(request.Group)
	}
	return r.activeTable.Find(query)
}

// Admit implements dispatch.Router.
func (r *fleetRouter) Admit(request *dispatch.Request) (*route.Route, *balance.ZoneConstraint) {
	matched := r.find(request)
	if matched == nil {
		return nil, nil
	}
	if ok, over := r.limiter.Admit(r.now(), matched, request.Retry); !ok {
		r.rejections.isPending = true
		return nil, &balance.ZoneConstraint{Name: over}
	}
	return matched, matched.Constraint
}

// Adopt implements dispatch.Router.
func (r *fleetRouter) Adopt(request *dispatch.Request) (*route.Route, *balance.ZoneConstraint) {
	matched := r.find(request)
	if matched == nil {
		return nil, nil
	}
	r.limiter.ConnectionOpened(matched)
	return matched, matched.Constraint
}

// AddUsage implements dispatch.Router.
func (r *fleetRouter) AddUsage(on *route.Route, retries, probes int) {
	r.limiter.RecordAttempts(r.now(), on, retries, retries, probes)
}

// Release implements dispatch.Router.
func (r *fleetRouter) Release(on *route.Route) { r.limiter.ConnectionClosed(on) }

// fillReport adds to the report, once in a half epoch, what was used.
func (r *fleetRouter) fillReport(report *agentapi.Report) {
	if r.table != nil {
		report.TableIndex = r.table.Index
	}
	r.reassembler.FillProgress(report)
	r.eventLoop.RunOnLoop(func(now time.Duration) {
		agentNow := now + r.agentClockOffset
		halfEpoch := int64(agentNow / r.halfEpoch)
		if halfEpoch != r.reportedHalfEpoch && report.LeaseNumber+report.TableIndex > 0 {
			r.reportedHalfEpoch = halfEpoch
			usage := r.limiter.Usage(agentNow)
			report.Usage = &usage
		}
		r.rejections.log(r.limiter)
	})
	if report.Usage != nil {
		keepMostUsedPaths(report.Usage)
	}
}

// keepMostUsedPaths drops the paths that are used least, if there are too many.
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

// handleResponse takes the tables and leases of the agent's response.
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

// applyUpdate compiles a table or changes to it. One that can't be used leaves the active table in
// force, and the next report requests a complete one.
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
		r.invalidTableLog.Warn("route table rejected, the previous one stays", "component", componentRoutes, "error", err)
		return
	}
	r.eventLoop.RunOnLoop(func(time.Duration) { r.activeTable = next })
	if update.Complete || len(update.Set)+len(update.Removed)+len(update.Allocations) > 0 {
		slog.Info("route table updated", "component", componentRoutes, "set", len(update.Set),
			"removed", len(update.Removed), "allocations", len(update.Allocations), "complete", update.Complete)
	}
}

// agentLost is called when the agent can't be reached: the usage is reported anew.
func (r *fleetRouter) agentLost() { r.reportedHalfEpoch = 0 }
