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
type writ struct{ view atomic.Pointer[replog.View] }

func (h *writ) View() replog.View        { return *h.view.Load() }
func (h *writ) Changed() <-chan struct{} { return nil }
func (h *writ) IsLeader() bool           { return false }
func (h *writ) Propose(context.Context, logentry.Entry) (o logentry.Outcome, err error) {
	return o, replog.ErrOutcomeUnknown
}

// asker is an item whose answer is one word.
type asker struct {
	dispatch.Request
	answer chan string
}

func (f *asker) PlacementRequest() *dispatch.Request { return &f.Request }
func (f *asker) Migrate()                            {}
func (f *asker) Fail() bool                          { f.answer <- "failed"; return true }
func (f *asker) Reject(pause time.Duration) bool {
	f.answer <- map[bool]string{true: "busy with a pause", false: "busy"}[pause > 0]
	return true
}

// sound is next hops that are nearly empty and take all, and a roster that never answers.
type sound struct{ core *dispatch.EventLoop }

func (s *sound) Subscribe() {}
func (s *sound) Probe(server string) {
	load := balance.EmptyLoadReport
	load.Utilization, load.Inflight = 0.05, 1e5
	go s.core.ProbeEnded(server, balance.OK, time.Millisecond, load)
}
func (s *sound) StartAttempt(x dispatch.Placement, attempt int, server string, _ time.Time) {
	go s.core.AttemptEstablished(x, attempt, server, time.Millisecond)
	x.(*asker).answer <- server
}

// A route bounds a tenant's transactions to its zone and to its limit, before the first list
// and after it; what is over is answered at once with a pause, the next half has room again,
// and others go where they would.
func TestRoutesFromTheRecordToTheCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		clock := func() time.Duration { return time.Duration(time.Now().UnixNano()) }
		deal := account.LeaseConfig{Epoch: time.Second, HolderTimeout: 5 * time.Second}
		tree := func(rate, open float64) *logentry.State {
			free := account.Limits{Connections: -1, SetupRate: -1, RetryRate: -1, ProbeRate: -1}
			top := free
			top.SetupRate, top.Connections = rate, open
			r := &account.Route{Name: "r", Owner: "acme", Match: account.Match{Tenant: "acme"}, ZoneShares: []account.ZoneShare{{Zone: "b", Percent: 100}}, Limits: free}
			return &logentry.State{Accounts: account.State{Version: 1, Nodes: map[string]*account.Node{"acme": {Limits: top}}, Routes: map[string]*account.Route{r.Path(): r}}}
		}
		log, state := &writ{}, tree(0, -1)
		set := func() { log.view.Store(&replog.View{State: state, WithinLease: true, ConfirmedAt: time.Now()}) }
		set()
		a := agent.New(agent.Options{Name: "n1", Zone: "a", Log: log, Clock: clock, Accounts: &deal,
			Gossip: gossip.NewMember("n1", quota.Config{Epoch: deal.Epoch, LeaseTimeout: deal.HolderTimeout, ReportTTL: time.Second}, quota.Guards{}, clock)})
		go a.Run(ctx)

		hops := &sound{}
		core, err := dispatch.New(dispatch.NewClock(), 1, balance.Settings{Instances: 1, Tick: 4 * time.Millisecond, SubscribeRequired: true, SubscribeTimeout: time.Second,
			Classes: []balance.Class{{Name: "feed", LatencyObjective: 300 * time.Millisecond, Deadline: time.Second}},
			Rules:   balance.Rules{DrainGrace: time.Second, SlowStartWindow: 20 * time.Second, InitialCapacity: 0.2, OverloadMultiple: 3, OverloadDuration: time.Second},
			Limits:  balance.Limits{ProbesAllowed: true, SendRetryAfter: true, MaxRetryAfter: time.Second, MaxAttempts: 3}, LoadReporting: balance.LoadReporting{InProbeResults: true}}, hops, hops)
		if err != nil {
			t.Fatal(err)
		}
		hops.core = core
		node, err := newFleetRouter(core, deal)
		if err != nil {
			t.Fatal(err)
		}
		core.Router = node
		go core.Run(ctx)

		exchange := func() {
			said := agentapi.Report{QuotaUsage: core.QuotaUsage()}
			node.fillReport(&said)
			raw, err := json.Marshal(said)
			if err != nil {
				t.Fatal(err)
			}
			heard := agentapi.Report{}
			if err := json.Unmarshal(raw, &heard); err != nil {
				t.Fatal(err)
			}
			if raw, err = json.Marshal(a.HandleReport(heard)); err != nil {
				t.Fatal(err)
			}
			told := agentapi.Response{}
			if err := json.Unmarshal(raw, &told); err != nil {
				t.Fatal(err)
			}
			node.handleResponse(&told)
		}
		number, standing := 0, []*asker{}
		open := func(tenant string, n int) string {
			got := map[string]int{}
			for range n {
				number++
				f := &asker{Request: dispatch.Request{ID: fmt.Sprint(number), Class: "feed", Tenant: tenant, Deadline: time.Now().Add(time.Second)}, answer: make(chan string, 1)}
				began := time.Now()
				core.Submit(f, hops)
				word := <-f.answer
				if took := time.Since(began); took > 0 {
					word += fmt.Sprint(" after ", took)
				}
				if got[word]++; word == "b1" || word == "a1" {
					standing = append(standing, f)
				}
			}
			words := ""
			for _, word := range slices.Sorted(maps.Keys(got)) {
				words += fmt.Sprintf("%d %s, ", got[word], word)
			}
			return words
		}
		pass := func(d time.Duration) {
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

		pass(150 * time.Millisecond)
		expect("before the list, no room", open("acme", 1), "1 busy with a pause, ")
		core.UpdateEndpoints(balance.ListUpdate{Kind: balance.ListFull, Entries: []balance.ServerEntry{{ID: "a1", Zone: "a"}, {ID: "b1", Zone: "b"}}})
		state = tree(4, -1)
		pass(850 * time.Millisecond) // to the next epoch: four tokens
		expect("first half", open("acme", 6), "4 b1, 2 busy with a pause, ")
		if got := open("", 20); got == "20 b1, " || got == "20 a1, " {
			t.Errorf("others are bound too: %s", got)
		}
		pass(500 * time.Millisecond)
		expect("second half, all is spent", open("acme", 2), "2 busy with a pause, ")
		pass(500 * time.Millisecond)
		expect("next epoch", open("acme", 2), "2 b1, ")
		pass(500 * time.Millisecond)
		expect("what was left, again", open("acme", 3), "2 b1, 1 busy with a pause, ")
		state = tree(-1, 9) // eight stand
		pass(500 * time.Millisecond)
		expect("standing", open("acme", 3), "1 b1, 2 busy with a pause, ")
		for _, f := range standing {
			core.PlacementEnded(f, balance.OK)
		}
		synctest.Wait()
		expect("they have ended", open("acme", 10), "9 b1, 1 busy with a pause, ")
		cancel()
		synctest.Wait()
	})
}
