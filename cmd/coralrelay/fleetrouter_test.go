package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/dispatch"
	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/agent"
	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/fleet/gossip"
	"coralrelay/internal/fleet/logentry"
	"coralrelay/internal/fleet/quota"
	"coralrelay/internal/fleet/replog"
)

// writ is a record whose state the test sets.
type fakeLog struct{ view atomic.Pointer[replog.View] }

func (h *fakeLog) View() replog.View        { return *h.view.Load() }
func (h *fakeLog) Changed() <-chan struct{} { return nil }
func (h *fakeLog) IsLeader() bool           { return false }
func (h *fakeLog) Propose(context.Context, logentry.Entry) (o logentry.Outcome, err error) {
	return o, replog.ErrOutcomeUnknown
}

// asker is an item whose answer is one word.
type fakePlacement struct {
	dispatch.Request
	answer chan string
}

func (f *fakePlacement) PlacementRequest() *dispatch.Request { return &f.Request }
func (f *fakePlacement) Migrate()                            {}
func (f *fakePlacement) Fail() bool                          { f.answer <- "failed"; return true }
func (f *fakePlacement) Reject(pause time.Duration) bool {
	f.answer <- map[bool]string{true: "busy with a pause", false: "busy"}[pause > 0]
	return true
}

// sound is next hops that are nearly empty and take all, and a roster that never answers.
type healthyUpstreams struct{ eventLoop *dispatch.EventLoop }

func (s *healthyUpstreams) Subscribe() {}
func (s *healthyUpstreams) Probe(server string) {
	load := balance.EmptyLoadReport
	load.Utilization, load.Inflight = 0.05, 1e5
	go s.eventLoop.ProbeEnded(server, balance.OK, time.Millisecond, load)
}
func (s *healthyUpstreams) StartAttempt(x dispatch.Placement, attempt int, server string, _ time.Time) {
	go s.eventLoop.AttemptEstablished(x, attempt, server, time.Millisecond)
	x.(*fakePlacement).answer <- server
}

// A route bounds a tenant's transactions to its zone and to its limit, before the first list
// and after it; what is over is answered at once with a pause, the next half has room again,
// and others go where they would.
func TestRoutesBoundTenantToZoneAndLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		clock := func() time.Duration { return time.Duration(time.Now().UnixNano()) }
		leaseConfig := account.LeaseConfig{Epoch: time.Second, HolderTimeout: 5 * time.Second}
		tree := func(rate, open float64) *logentry.State {
			free := account.Limits{Connections: -1, SetupRate: -1, RetryRate: -1, ProbeRate: -1}
			top := free
			top.SetupRate, top.Connections = rate, open
			r := &account.Route{Name: "r", Owner: "acme", Match: account.Match{Tenant: "acme"}, ZoneShares: []account.ZoneShare{{Zone: "b", Percent: 100}}, Limits: free}
			return &logentry.State{Accounts: account.State{Version: 1, Nodes: map[string]*account.Node{"acme": {Limits: top}}, Routes: map[string]*account.Route{r.Path(): r}}}
		}
		log, state := &fakeLog{}, tree(0, -1)
		set := func() { log.view.Store(&replog.View{State: state, WithinLease: true, ConfirmedAt: time.Now()}) }
		set()
		a := agent.New(agent.Options{Name: "n1", Zone: "a", Log: log, Clock: clock, Accounts: &leaseConfig,
			Gossip: gossip.NewMember("n1", quota.Config{Epoch: leaseConfig.Epoch, LeaseTimeout: leaseConfig.HolderTimeout, ReportTTL: time.Second}, quota.Guards{}, clock)})
		go a.Run(ctx)

		upstreams := &healthyUpstreams{}
		eventLoop, err := dispatch.New(dispatch.NewClock(), 1, balance.Settings{Instances: 1, Tick: 4 * time.Millisecond, SubscribeRequired: true, SubscribeTimeout: time.Second,
			Classes: []balance.Class{{Name: "feed", LatencyObjective: 300 * time.Millisecond, Deadline: time.Second}},
			Rules:   balance.Rules{DrainGrace: time.Second, SlowStartWindow: 20 * time.Second, InitialCapacity: 0.2, OverloadMultiple: 3, OverloadDuration: time.Second},
			Limits:  balance.Limits{ProbesAllowed: true, SendRetryAfter: true, MaxRetryAfter: time.Second, MaxAttempts: 3}, LoadReporting: balance.LoadReporting{InProbeResults: true}}, upstreams, upstreams)
		if err != nil {
			t.Fatal(err)
		}
		upstreams.eventLoop = eventLoop
		router, err := newFleetRouter(eventLoop, leaseConfig)
		if err != nil {
			t.Fatal(err)
		}
		eventLoop.Router = router
		go eventLoop.Run(ctx)

		exchange := func() {
			report := agentapi.Report{QuotaUsage: eventLoop.QuotaUsage()}
			router.fillReport(&report)
			raw, err := json.Marshal(report)
			if err != nil {
				t.Fatal(err)
			}
			received := agentapi.Report{}
			if err := json.Unmarshal(raw, &received); err != nil {
				t.Fatal(err)
			}
			if raw, err = json.Marshal(a.HandleReport(received)); err != nil {
				t.Fatal(err)
			}
			response := agentapi.Response{}
			if err := json.Unmarshal(raw, &response); err != nil {
				t.Fatal(err)
			}
			router.handleResponse(&response)
		}
		number, placed := 0, []*fakePlacement{}
		open := func(tenant string, n int) string {
			got := map[string]int{}
			for range n {
				number++
				request := &fakePlacement{Request: dispatch.Request{ID: fmt.Sprint(number), Class: "feed", Tenant: tenant, Deadline: time.Now().Add(time.Second)}, answer: make(chan string, 1)}
				began := time.Now()
				eventLoop.Submit(request, upstreams)
				answer := <-request.answer
				if took := time.Since(began); took > 0 {
					answer += fmt.Sprint(" after ", took)
				}
				if got[answer]++; answer == "b1" || answer == "a1" {
					placed = append(placed, request)
				}
			}
			answers := ""
			for _, answer := range slices.Sorted(maps.Keys(got)) {
				answers += fmt.Sprintf("%d %s, ", got[answer], answer)
			}
			return answers
		}
		advance := func(d time.Duration) {
			time.Sleep(d)
			set()
			synctest.Wait()
			exchange()
			exchange()
		}
		expect := func(what, got, want string) {
			if t.Helper(); got != want {
				t.Errorf("%s: %s want %s", what, got, want)
			}
		}

		advance(150 * time.Millisecond)
		expect("before the list, no room", open("acme", 1), "1 busy with a pause, ")
		eventLoop.UpdateEndpoints(balance.ListUpdate{Kind: balance.ListFull, Entries: []balance.ServerEntry{{ID: "a1", Zone: "a"}, {ID: "b1", Zone: "b"}}})
		state = tree(4, -1)
		advance(850 * time.Millisecond) // to the next epoch: four tokens
		expect("first half", open("acme", 6), "4 b1, 2 busy with a pause, ")
		if got := open("", 20); got == "20 b1, " || got == "20 a1, " {
			t.Errorf("others are bound too: %s", got)
		}
		advance(500 * time.Millisecond)
		expect("second half, all is spent", open("acme", 2), "2 busy with a pause, ")
		advance(500 * time.Millisecond)
		expect("next epoch", open("acme", 2), "2 b1, ")
		advance(500 * time.Millisecond)
		expect("what was left, again", open("acme", 3), "2 b1, 1 busy with a pause, ")
		state = tree(-1, 9) // eight stand
		advance(500 * time.Millisecond)
		expect("standing", open("acme", 3), "1 b1, 2 busy with a pause, ")
		for _, request := range placed {
			eventLoop.PlacementEnded(request, balance.OK)
		}
		synctest.Wait()
		expect("they have ended", open("acme", 10), "9 b1, 1 busy with a pause, ")
		cancel()
		synctest.Wait()
	})
}
