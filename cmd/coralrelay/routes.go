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
	"coralrelay/internal/logging"
	"coralrelay/internal/route"
)

const (
	// mostUses bounds the paths that the agent is told of in one word: those used most.
	mostUses = 4000
	// refusalsEvery is the least time between two log lines on refusals, mostRefusals how
	// many kinds of them one has.
	refusalsEvery, mostRefusals = 10 * time.Second, 8
)

// routes are the operators' routes and the rights on them, as the agent tells them. It is a
// decide.Router. What the agent says is taken on the link's goroutine, and set for the Core's.
type routes struct {
	core *dispatch.EventLoop
	half time.Duration // half of an epoch

	// Of the link's goroutine.
	gathered agentapi.Reassembler
	table    *route.Table // nil for none
	word     int64        // half epoch that the agent was last told of
	bad      logging.Throttled

	// Of the Core's goroutine.
	inForce *route.Table
	ledger  *route.Limiter
	ahead   time.Duration // of the agent's clock over the module's
	refused bool          // and not logged yet
	said    time.Time     // when refusals were last logged
	logged  map[route.Rejection]uint64
}

// newRoutes returns routes without a table: all goes anywhere.
func newRoutes(core *dispatch.EventLoop, cfg account.LeaseConfig) (*routes, error) {
	ledger, err := route.NewLimiter(cfg)
	if err != nil {
		return nil, err
	}
	return &routes{core: core, half: cfg.Epoch / 2, ledger: ledger, logged: map[route.Rejection]uint64{}}, nil
}

func (r *routes) now() time.Duration { return r.core.Now() + r.ahead }

func (r *routes) find(q *dispatch.Request) *route.Route {
	if r.inForce == nil {
		return nil
	}
	query := route.Query{Class: q.Class, Tenant: q.Tenant, Group: q.Group, Returning: q.Returned, Retry: q.Retry}
	if q.Group != "" {
		query.GroupHash = route.Hash(q.Group)
	}
	return r.inForce.Find(query)
}

// Admit implements decide.Router.
func (r *routes) Admit(q *dispatch.Request) (*route.Route, *balance.ZoneConstraint) {
	found := r.find(q)
	if found == nil {
		return nil, nil
	}
	if ok, over := r.ledger.Admit(r.now(), found, q.Retry); !ok {
		r.refused = true
		return nil, &balance.ZoneConstraint{Name: over}
	}
	return found, found.Bound
}

// Adopt implements decide.Router.
func (r *routes) Adopt(q *dispatch.Request) (*route.Route, *balance.ZoneConstraint) {
	found := r.find(q)
	if found == nil {
		return nil, nil
	}
	r.ledger.ConnectionOpened(found)
	return found, found.Bound
}

// Spent implements decide.Router.
func (r *routes) AddUsage(on *route.Route, again, probes int) {
	r.ledger.RecordAttempts(r.now(), on, again, again, probes)
}

// Closed implements decide.Router.
func (r *routes) Release(on *route.Route) { r.ledger.ConnectionClosed(on) }

// say adds to what the agent is told: once in a half epoch what was used.
func (r *routes) say(s *agentapi.Report) {
	if r.table != nil {
		s.TableIndex = r.table.Index
	}
	r.gathered.FillProgress(s)
	r.core.RunOnLoop(func(now time.Duration) {
		if half := int64((now + r.ahead) / r.half); half != r.word && s.LeaseNumber+s.TableIndex > 0 {
			r.word = half
			u := r.ledger.Usage(now + r.ahead)
			s.Usage = &u
		}
		r.logRefusals()
	})
	if s.Usage != nil {
		bound(s.Usage)
	}
}

// bound leaves the paths that are used most, if there are too many.
func bound(u *account.Usage) {
	if max(len(u.Used), len(u.UsedBefore), len(u.Demand)) <= mostUses {
		return
	}
	weight := func(path string) float64 {
		return u.UsedBefore[path].Setups + u.Demand[path].Setups + u.Demand[path].Connections
	}
	for _, m := range []map[string]account.Amounts{u.Used, u.UsedBefore, u.Demand} {
		order := slices.SortedFunc(maps.Keys(m), func(a, b string) int {
			return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
		})
		for _, path := range order[min(mostUses, len(order)):] {
			delete(m, path)
		}
	}
}

// take takes what the agent answers. A table that can't be used leaves the one in force, and
// is asked for anew, whole.
func (r *routes) take(t *agentapi.Response) {
	if w, ok := r.gathered.AddTable(t); ok {
		r.compile(w)
	}
	rights, ok := r.gathered.AddLease(t)
	if !ok {
		return
	}
	r.core.RunOnLoop(func(now time.Duration) {
		r.ahead = time.Duration(rights.HalfEpoch+1)*r.half - rights.ExpiresAt
		r.ledger.SetLease(rights, now+r.ahead)
	})
}

func (r *routes) compile(w route.Update) {
	var next *route.Table
	var err error
	if r.table == nil || w.Complete {
		next, err = route.Compile(w)
	} else {
		next, err = r.table.Apply(w)
	}
	if r.table = next; err != nil {
		r.table = nil
		r.bad.Warn("the fleet's routes can't be used, those before stay", "err", err)
		return
	}
	r.core.RunOnLoop(func(time.Duration) { r.inForce = next })
	if w.Complete || len(w.Set)+len(w.Removed)+len(w.Allocations) > 0 {
		slog.Info("routes changed", "set", len(w.Set), "gone", len(w.Removed), "steered", len(w.Allocations), "whole", w.Complete)
	}
}

// lost is told when the agent can't be reached: what was used is told anew.
func (r *routes) lost() { r.word = 0 }

// logRefusals says what was refused since it last did, the most of it.
func (r *routes) logRefusals() {
	now := time.Now()
	if !r.refused || now.Sub(r.said) < refusalsEvery {
		return
	}
	r.refused = false
	all := r.ledger.Rejections()
	fresh := maps.Clone(all)
	for why, n := range r.logged {
		if fresh[why] -= n; fresh[why] == 0 {
			delete(fresh, why)
		}
	}
	r.said, r.logged = now, all
	order := slices.SortedFunc(maps.Keys(fresh), func(a, b route.Rejection) int {
		return cmp.Or(cmp.Compare(fresh[b], fresh[a]), cmp.Compare(a.Level, b.Level), cmp.Compare(a.Resource, b.Resource))
	})
	for _, why := range order[:min(mostRefusals, len(order))] {
		slog.Warn("transactions refused: no room on their route", "account", why.Account, "level", why.Level,
			"limit", why.Resource, "count", fresh[why], "since_start", all[why])
	}
	if more := len(order) - mostRefusals; more > 0 {
		slog.Warn("transactions refused: no room on their route", "further_kinds", more)
	}
}
