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

// testMemoryMB is the memory of a node in MiB.
const testMemoryMB = 192

// fakeLog is a replicated log whose view is set by the test.
type fakeLog struct{ view atomic.Pointer[replog.View] }

func (l *fakeLog) View() replog.View        { return *l.view.Load() }
func (l *fakeLog) Changed() <-chan struct{} { return nil }
func (l *fakeLog) IsLeader() bool           { return false }
func (l *fakeLog) Propose(context.Context, logentry.Entry) (o logentry.Outcome, err error) {
	return o, replog.ErrOutcomeUnknown
}

// fakePlacement is a placement request that sends its answer to a channel as text.
type fakePlacement struct {
	dispatch.Request
	answer chan string
}

func (f *fakePlacement) PlacementRequest() *dispatch.Request { return &f.Request }
func (f *fakePlacement) Migrate()                            {}
func (f *fakePlacement) Fail() bool {
	f.answer <- "failed"
	return true
}
func (f *fakePlacement) Reject(retryAfter time.Duration) bool {
	f.answer <- map[bool]string{true: "busy with Retry-After", false: "busy"}[retryAfter > 0]
	return true
}

// healthyUpstreams simulates endpoints that are nearly idle and accept every attempt, and a discovery
// that never answers.
type healthyUpstreams struct{ eventLoop *dispatch.EventLoop }

func (u *healthyUpstreams) Subscribe() {}
func (u *healthyUpstreams) Probe(server string) {
	load := balance.EmptyLoadReport
	load.Utilization, load.Inflight = 0.05, 1e5
	go u.eventLoop.ProbeEnded(server, balance.OK, time.Millisecond, load)
}
func (u *healthyUpstreams) StartAttempt(x dispatch.Placement, attempt int, server string, _ time.Time) {
	go u.eventLoop.AttemptEstablished(x, attempt, server, time.Millisecond)
	x.(*fakePlacement).answer <- server
}

// leaseConfig is the configuration that the agent and the node share.
var leaseConfig = account.LeaseConfig{Epoch: time.Second, HolderTimeout: 5 * time.Second}

// accountState returns a state with a route of tenant acme to zone b, and acme's limits; -1 means unlimited.
func accountState(setupRate, connections float64) *logentry.State {
	unlimited := account.Limits{Connections: -1, SetupRate: -1, RetryRate: -1, ProbeRate: -1}
	limits := unlimited
	limits.SetupRate, limits.Connections = setupRate, connections
	r := &account.Route{
		Name:       "r",
		Owner:      "acme",
		Match:      account.Match{Tenant: "acme"},
		ZoneShares: []account.ZoneShare{{Zone: "b", Percent: 100}},
		Limits:     unlimited,
	}
	return &logentry.State{Accounts: account.State{
		Version: 1,
		Nodes:   map[string]*account.Node{"acme": {Limits: limits}},
		Routes:  map[string]*account.Route{r.Path(): r},
	}}
}

// routedNode is an event loop with a fleetRouter, and the agent with which it exchanges messages.
type routedNode struct {
	t         *testing.T
	log       fakeLog
	state     *logentry.State // the log's state from the next call of advance on
	agent     *agent.Agent
	upstreams *healthyUpstreams
	eventLoop *dispatch.EventLoop
	router    *fleetRouter
	requests  int              // number of requests submitted so far
	placed    []*fakePlacement // requests that an endpoint accepted
}

func startRoutedNode(ctx context.Context, t *testing.T, state *logentry.State) *routedNode {
	t.Helper()
	n := &routedNode{t: t, state: state, upstreams: &healthyUpstreams{}}
	n.publishState()
	clock := func() time.Duration { return time.Duration(time.Now().UnixNano()) }
	quotaConfig := quota.Config{Epoch: leaseConfig.Epoch, LeaseTimeout: leaseConfig.HolderTimeout, ReportTTL: time.Second}
	n.agent = agent.New(agent.Options{
		Name:     "n1",
		Zone:     "a",
		Log:      &n.log,
		Clock:    clock,
		Accounts: &leaseConfig,
		Gossip:   gossip.NewMember("n1", quotaConfig, quota.Guards{}, clock),
	})
	go n.agent.Run(ctx)
	var err error
	n.eventLoop, err = dispatch.New(dispatch.NewClock(), 1, routedSettings(), n.upstreams, n.upstreams)
	if err != nil {
		t.Fatal(err)
	}
	n.upstreams.eventLoop = n.eventLoop
	if n.router, err = newFleetRouter(n.eventLoop, leaseConfig, testMemoryMB); err != nil {
		t.Fatal(err)
	}
	n.eventLoop.Router = n.router
	go n.eventLoop.Run(ctx)
	return n
}

func routedSettings() balance.Settings {
	return balance.Settings{
		Instances:         1,
		Tick:              4 * time.Millisecond,
		SubscribeRequired: true,
		SubscribeTimeout:  time.Second,
		Classes: []balance.Class{
			{Name: "feed", LatencyObjective: 300 * time.Millisecond, Deadline: time.Second},
		},
		Rules: balance.Rules{
			DrainGrace:       time.Second,
			SlowStartWindow:  20 * time.Second,
			InitialCapacity:  0.2,
			OverloadMultiple: 3,
			OverloadDuration: time.Second,
		},
		Limits:        balance.Limits{ProbesAllowed: true, SendRetryAfter: true, MaxRetryAfter: time.Second, MaxAttempts: 3},
		LoadReporting: balance.LoadReporting{InProbeResults: true},
	}
}

func (n *routedNode) publishState() {
	n.log.view.Store(&replog.View{State: n.state, WithinLease: true, ConfirmedAt: time.Now()})
}

// exchange sends one report to the agent and handles its response, both as JSON.
func (n *routedNode) exchange() {
	n.t.Helper()
	report := agentapi.Report{QuotaUsage: n.eventLoop.QuotaUsage()}
	n.router.fillReport(&report)
	received, response := agentapi.Report{}, agentapi.Response{}
	throughJSON(n.t, report, &received)
	throughJSON(n.t, n.agent.HandleReport(received), &response)
	if err := n.router.handleResponse(&response); err != nil {
		n.t.Error(err)
	}
}

// throughJSON encodes from as JSON and decodes the result into to.
func throughJSON(t *testing.T, from, to any) {
	t.Helper()
	raw, err := json.Marshal(from)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(raw, to); err != nil {
		t.Fatal(err)
	}
}

// advance lets the time d pass, publishes the state, and exchanges messages between node and agent twice.
func (n *routedNode) advance(d time.Duration) {
	n.t.Helper()
	time.Sleep(d)
	n.publishState()
	synctest.Wait()
	n.exchange()
	n.exchange()
}

// open submits requests of a tenant one after another, and returns the number of answers of each kind as
// text.
func (n *routedNode) open(tenant string, count int) string {
	got := map[string]int{}
	for range count {
		n.requests++
		request := &fakePlacement{
			Request: dispatch.Request{
				ID: fmt.Sprint(n.requests), Class: "feed", Tenant: tenant, Deadline: time.Now().Add(time.Second),
			},
			answer: make(chan string, 1),
		}
		submittedAt := time.Now()
		n.eventLoop.Submit(request, n.upstreams)
		answer := <-request.answer
		if took := time.Since(submittedAt); took > 0 {
			answer += fmt.Sprint(" after ", took)
		}
		if got[answer]++; answer == "b1" || answer == "a1" {
			n.placed = append(n.placed, request)
		}
	}
	answers := ""
	for _, answer := range slices.Sorted(maps.Keys(got)) {
		answers += fmt.Sprintf("%d %s, ", got[answer], answer)
	}
	return answers
}

// expect submits requests of tenant acme and requires the given answers.
func (n *routedNode) expect(what string, requests int, want string) {
	n.t.Helper()
	if got := n.open("acme", requests); got != want {
		n.t.Errorf("%s: %s want %s", what, got, want)
	}
}
