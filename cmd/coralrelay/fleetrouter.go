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

// maxReportedPaths bounds the account paths in one report to the agent. The most used ones are kept.
const maxReportedPaths = 4000

// fleetRouter routes requests by the route tables and quota leases that the agent sends. It is a
// dispatch.Router. The agent client's goroutine handles responses and passes new tables and leases to
// the event loop.
type fleetRouter struct {
	eventLoop *dispatch.EventLoop
	halfEpoch time.Duration

	// The following fields belong to the agent client's goroutine. It also uses them in functions that
	// it passes to RunOnLoop, which waits for them.
	reassembler       *agentapi.Reassembler
	table             *route.Table // the base of further changes; nil without a valid table
	reportedHalfEpoch int64        // the last half epoch in which usage was reported
	invalidTableLog   logging.Throttled

	// The following fields are used on the event loop's goroutine only.
	activeTable      *route.Table
	limiter          *route.Limiter
	agentClockOffset time.Duration // the agent's clock minus the event loop's clock
	rejections       rejectionLog
}

// newFleetRouter returns a router without a table for a node with the given memory in MiB. Such a router does
// not restrict any request.
func newFleetRouter(eventLoop *dispatch.EventLoop, cfg account.LeaseConfig, memoryMB int) (*fleetRouter, error) {
	limiter, err := route.NewLimiter(cfg)
	if err != nil {
		return nil, err
	}
	return &fleetRouter{
		eventLoop:   eventLoop,
		halfEpoch:   cfg.Epoch / 2,
		reassembler: agentapi.NewReassembler(memoryMB),
		limiter:     limiter,
		rejections:  rejectionLog{logged: map[route.Rejection]uint64{}},
	}, nil
}

// now returns the time on the agent's clock. It must be called on the event loop.
func (r *fleetRouter) now() time.Duration { return r.eventLoop.Now() + r.agentClockOffset }

// find returns the route that the request matches, or nil if there is none.
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
	if ok, exceeded := r.limiter.Admit(r.now(), matched, request.Retry); !ok {
		r.rejections.hasUnlogged = true
		return nil, &balance.ZoneConstraint{Name: exceeded}
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
func (r *fleetRouter) AddUsage(admitted *route.Route, retries, probes int) {
	r.limiter.RecordAttempts(r.now(), admitted, retries, retries, probes)
}

// Release implements dispatch.Router.
func (r *fleetRouter) Release(admitted *route.Route) { r.limiter.ConnectionClosed(admitted) }

// fillReport adds the state of the route table to the report and, once per half epoch, the usage.
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

// keepMostUsedPaths drops the least used paths beyond maxReportedPaths.
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

// handleResponse applies the route tables and quota leases in the agent's response. The error is an
// *inputlimit.Error if one of them is too large.
func (r *fleetRouter) handleResponse(response *agentapi.Response) error {
	update, isComplete, err := r.reassembler.AddTable(response)
	if err != nil {
		return err
	}
	if isComplete {
		r.applyUpdate(update)
	}
	lease, isComplete, err := r.reassembler.AddLease(response)
	if err != nil || !isComplete {
		return err
	}
	r.eventLoop.RunOnLoop(func(now time.Duration) {
		r.agentClockOffset = time.Duration(lease.HalfEpoch+1)*r.halfEpoch - lease.ExpiresAt
		r.limiter.SetLease(lease, now+r.agentClockOffset)
	})
	return nil
}

// applyUpdate compiles a complete table or applies changes to the current one. An invalid update leaves
// the active table in force, and the next report requests a complete table.
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

// handleDisconnect is called when the agent becomes unreachable. The usage is reported again as soon as
// the agent is reachable.
func (r *fleetRouter) handleDisconnect() { r.reportedHalfEpoch = 0 }
