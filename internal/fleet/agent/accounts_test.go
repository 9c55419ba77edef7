package agent

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/fleet/gossip"
	"coralrelay/internal/fleet/logentry"
	"coralrelay/internal/fleet/replog"
)

// rootKey may found accounts in the world's record.
var rootKey = ed25519.NewKeyFromSeed([]byte("the root of the tests' own fleet"))

// signed is an operator's entry with a body, as text.
func signedEntry(kind logentry.Kind, body string) string {
	e := logentry.Entry{Kind: kind, ProposedAt: 1, Reason: "a test", Body: json.RawMessage(body), KeyName: account.KeyName(rootKey.Public().(ed25519.PublicKey))}
	e.Signature = ed25519.Sign(rootKey, e.SignedBytes())
	raw, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	return string(raw)
}

// Postures and allocations never come by the port, signed or not, and nothing that is not
// signed.
func TestOperatorsCannotProposeFleetDecisions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestFleet(t, t.Context())
		for _, tt := range []struct{ entry, want string }{
			{`{"kind":"zones","by":"","at":1,"body":{"base":0,"set":[],"zones":["a"]}}`, "postures"},
			{signedEntry(logentry.KindZones, `{"base":0,"set":[],"zones":["a"]}`), "postures"},
			{signedEntry(logentry.KindContracts, `{"base":0,"steer":[{"contract":"gold","shares":{"a":1}}]}`), "allocations"},
			{signedEntry(logentry.KindContracts, `{"base":0,"steal":[]}`), "steal"},
			{`{"kind":"contracts","by":"","at":1,"body":{"base":0}}`, "not signed"},
			{`{"kind":"accounts","by":"","at":1,"body":{"base":0}}`, "not signed"},
		} {
			for _, ask := range []string{"check", "propose"} {
				answer, err := w.agent.HandleOperator(t.Context(), agentapi.OperatorRequest{Method: ask, Entry: json.RawMessage(tt.entry)})
				if err == nil || !strings.Contains(err.Error(), tt.want) {
					t.Errorf("%s %s: %v, %v", ask, tt.entry, answer, err)
				}
			}
		}
		if i := w.log.View().State.Index; i != 0 {
			t.Errorf("the record is at %d", i)
		}
	})
}

// A team asks for more than its account has, an account is cut, and the node hears of what
// was taken, and only of that.
func TestAccountChangesReachTheNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newTestFleet(t, ctx)
		w.log.change(func(v *replog.View) { v.WithinLease, v.ConfirmedAt = true, time.Now() })
		done := make(chan struct{})
		go func() { defer close(done); w.agent.Run(ctx) }()
		report := agentapi.Report{}
		var reassembler agentapi.Reassembler
		pollAgent := func() {
			time.Sleep(150 * time.Millisecond)
			if half := time.Now().UnixNano() / int64(750*time.Millisecond); half%2 == 1 { // the others have used nothing
				for i := range 5 {
					w.agent.Gossip.Receive(fmt.Appendf(nil, `{"used":"n%d","half":%d,"paths":{}}`, i+2, half))
				}
			}
			reassembler.FillProgress(&report)
			raw, err := json.Marshal(report)
			if err != nil {
				t.Fatal(err)
			}
			answer, err := w.nodeClient.request(string(raw))
			if err != nil {
				t.Fatal(err)
			}
			var response agentapi.Response
			if err := json.Unmarshal([]byte(answer), &response); err != nil {
				t.Fatal(err)
			}
			if wire, ok := reassembler.AddTable(&response); ok {
				raw, _ := json.Marshal(wire.Set)
				w.writeTranscript("agent", "to its node: whole %v, routes %s, gone %v", wire.Complete, raw, wire.Removed)
				report.TableIndex = wire.Index
			}
			if r, ok := reassembler.AddLease(&response); ok {
				raw, _ := json.Marshal(r.Allocated)
				w.writeTranscript("agent", "to its node: rights of half %d %s", r.HalfEpoch%2, raw)
			}
		}
		const route = `"limits":{"open":-1,"rate":%d,"retries":-1,"probes":-1}`
		const limits = `"limits":{"open":-1,"rate":%d,"retries":-1,"probes":-1,"routes":%d,"teams":%[2]d}`
		for _, op := range []string{
			fmt.Sprintf(`{"do":"found","path":"acme","node":{`+limits+`}}`, 100, 8),
			fmt.Sprintf(`{"do":"team","path":"acme/web","node":{`+limits+`}}`, 60, 3),
			fmt.Sprintf(`{"do":"team","path":"acme/shop","node":{`+limits+`}}`, 50, 3),
			fmt.Sprintf(`{"do":"team","path":"acme/shop","node":{`+limits+`}}`, 40, 3),
			fmt.Sprintf(`{"do":"route","path":"acme/web","route":{"name":"r","owner":"acme/web","match":{"tenant":"acme"},"parts":[{"zone":"b","percent":100}],`+route+`}}`, 60),
			fmt.Sprintf(`{"do":"limits","path":"acme","was":1,"node":{`+limits+`}}`, 30, 8),
			fmt.Sprintf(`{"do":"limits","path":"acme","was":1,"shrink":"proportion","node":{`+limits+`}}`, 30, 8),
			`{"do":"no-route","path":"acme/web","name":"r"}`,
		} {
			body := fmt.Sprintf(`{"base":%d,"ops":[%s]}`, w.log.View().State.Accounts.Version, op)
			w.writeTranscript("operator", "proposes, signed by the root: %s", body)
			c := newAPIClient(w.dial())
			answer, err := c.request(`{"ask":"propose","entry":` + signedEntry(logentry.KindAccounts, body) + `}`)
			if err != nil {
				t.Fatal(err)
			}
			_ = c.conn.Close()
			w.writeTranscript("agent", "%s", strings.TrimSpace(answer))
			pollAgent()
		}
		goldie.New(t).Assert(t, "accounts", w.transcript.Bytes())
		cancel()
		<-done
	})
}

// What a word that was cut does not name counts as used as much as the most of what was left
// out; nobody's limits that need no reckoning are filled in, and others' words stay whole.
func TestOmittedUsageCountsAsTheLargestOmitted(t *testing.T) {
	free := account.Limits{Connections: 5, SetupRate: -1, RetryRate: -1, ProbeRate: -1}
	s := &logentry.State{Accounts: account.State{Nodes: map[string]*account.Node{"x": {}, "y": {Limits: free}, "z": {}}}}
	usage := func(half int64, rest float64) gossip.Usage {
		return gossip.Usage{Usage: account.Usage{Member: "n", HalfEpoch: half, UsedBefore: map[string]account.Amounts{"x": {Setups: 9}}}, OmittedMax: account.Amounts{Setups: rest}}
	}
	for _, tt := range []struct {
		use  gossip.Usage
		want map[string]account.Amounts
	}{
		{usage(7, 2), map[string]account.Amounts{"x": {Setups: 9}, "z": {Setups: 2}}},
		{usage(7, 0), map[string]account.Amounts{"x": {Setups: 9}}},
		{usage(5, 2), map[string]account.Amounts{"x": {Setups: 9}}},
	} {
		if got := completeUsages([]gossip.Usage{tt.use}, s.Accounts, 7)[0].UsedBefore; fmt.Sprint(got) != fmt.Sprint(tt.want) {
			t.Errorf("%+v: %v, want %v", tt.use, got, tt.want)
		}
	}
}
