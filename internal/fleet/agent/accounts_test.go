package agent

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"maps"
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

// rootKey may create accounts in the log of a testFleet.
var rootKey = ed25519.NewKeyFromSeed([]byte("the root of the tests' own fleet"))

// signedEntry returns an operator's entry with a body, as JSON.
func signedEntry(kind logentry.Kind, body string) string {
	e := logentry.Entry{
		Kind:       kind,
		ProposedAt: 1,
		Reason:     "a test",
		Body:       json.RawMessage(body),
		KeyName:    account.KeyName(rootKey.Public().(ed25519.PublicKey)),
	}
	e.Signature = ed25519.Sign(rootKey, e.SignedBytes())
	raw, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	return string(raw)
}

// Operators can propose neither the status of zones nor allocations, signed or not, nor
// anything that is not signed.
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
			for _, method := range []string{methodCheck, methodPropose} {
				request := agentapi.OperatorRequest{Method: method, Entry: json.RawMessage(tt.entry)}
				answer, err := w.agent.HandleOperator(t.Context(), request)
				if err == nil || !strings.Contains(err.Error(), tt.want) {
					t.Errorf("%s %s: %v, %v", method, tt.entry, answer, err)
				}
			}
		}
		if i := w.log.View().State.Index; i != 0 {
			t.Errorf("the log is at index %d", i)
		}
	})
}

// accountChanges are an account's changes, in order: a team asks for more than its account
// has, and the account's limits are cut.
func accountChanges() []string {
	const limits = `"limits":{"open":-1,"rate":%d,"retries":-1,"probes":-1,"routes":%d,"teams":%[2]d}`
	const route = `{"do":"route","path":"acme/web","route":{"name":"r","owner":"acme/web",` +
		`"match":{"tenant":"acme"},"parts":[{"zone":"b","percent":100}],` +
		`"limits":{"open":-1,"rate":%d,"retries":-1,"probes":-1}}}`
	return []string{
		fmt.Sprintf(`{"do":"found","path":"acme","node":{`+limits+`}}`, 100, 8),
		fmt.Sprintf(`{"do":"team","path":"acme/web","node":{`+limits+`}}`, 60, 3),
		fmt.Sprintf(`{"do":"team","path":"acme/shop","node":{`+limits+`}}`, 50, 3),
		fmt.Sprintf(`{"do":"team","path":"acme/shop","node":{`+limits+`}}`, 40, 3),
		fmt.Sprintf(route, 60),
		fmt.Sprintf(`{"do":"limits","path":"acme","was":1,"node":{`+limits+`}}`, 30, 8),
		fmt.Sprintf(`{"do":"limits","path":"acme","was":1,"shrink":"proportion","node":{`+limits+`}}`, 30, 8),
		`{"do":"no-route","path":"acme/web","name":"r"}`,
	}
}

// The node is sent the routes and limits of the account changes that were accepted, and only
// of those.
func TestAccountChangesReachTheNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newTestFleet(t, ctx)
		w.log.change(func(v *replog.View) { v.WithinLease, v.ConfirmedAt = true, time.Now() })
		done := w.run(ctx)
		node := accountsNode{testFleet: w}
		for _, change := range accountChanges() {
			body := fmt.Sprintf(`{"base":%d,"ops":[%s]}`, w.log.View().State.Accounts.Version, change)
			w.writeTranscript("operator", "proposes, signed by the root: %s", body)
			w.askAsOperator(t, `{"ask":"propose","entry":`+signedEntry(logentry.KindAccounts, body)+`}`)
			time.Sleep(150 * time.Millisecond)
			node.reportUnusedQuotas()
			node.poll(t)
		}
		goldie.New(t).Assert(t, "accounts", w.transcript.Bytes())
		cancel()
		<-done
	})
}

// accountsNode is the node of a testFleet, which keeps its route table and lease.
type accountsNode struct {
	*testFleet
	report      agentapi.Report
	reassembler agentapi.Reassembler
}

// reportUnusedQuotas lets the other members report in an epoch's second half that they have
// used nothing.
func (n *accountsNode) reportUnusedQuotas() {
	half := time.Now().UnixNano() / int64(750*time.Millisecond)
	if half%2 == 0 {
		return
	}
	for i := range testZones[1:] {
		n.agent.Gossip.Receive(fmt.Appendf(nil, `{"used":"n%d","half":%d,"paths":{}}`, i+2, half))
	}
}

// poll sends the node's report, and writes what is new in the answer to the transcript.
func (n *accountsNode) poll(t *testing.T) {
	t.Helper()
	n.reassembler.FillProgress(&n.report)
	response, _, _ := n.pollAgent(t, n.report)
	if table, ok := n.reassembler.AddTable(&response); ok {
		routes, _ := json.Marshal(table.Set)
		n.writeTranscript("agent", "to its node: whole %v, routes %s, gone %v", table.Complete, routes, table.Removed)
		n.report.TableIndex = table.Index
	}
	if lease, ok := n.reassembler.AddLease(&response); ok {
		allocated, _ := json.Marshal(lease.Allocated)
		n.writeTranscript("agent", "to its node: rights of half %d %s", lease.HalfEpoch%2, allocated)
	}
}

// A path that a report has omitted counts as used as much as the largest that it omitted.
// Paths without limits that are reallocated are not filled in, and complete reports and those
// of other half epochs stay as they are.
func TestOmittedUsageCountsAsTheLargestOmitted(t *testing.T) {
	connectionsOnly := account.Limits{Connections: 5, SetupRate: -1, RetryRate: -1, ProbeRate: -1}
	accounts := account.State{Nodes: map[string]*account.Node{"x": {}, "y": {Limits: connectionsOnly}, "z": {}}}
	reported := map[string]account.Amounts{"x": {Setups: 9}}
	filled := map[string]account.Amounts{"x": {Setups: 9}, "z": {Setups: 2}}
	for _, tt := range []struct {
		name       string
		halfEpoch  int64
		omittedMax float64
		want       map[string]account.Amounts
	}{
		{"omitted", 7, 2, filled},
		{"complete", 7, 0, reported},
		{"of another half epoch", 5, 2, reported},
	} {
		t.Run(tt.name, func(t *testing.T) {
			usage := gossip.Usage{
				Usage:      account.Usage{Member: "n", HalfEpoch: tt.halfEpoch, UsedBefore: maps.Clone(reported)},
				OmittedMax: account.Amounts{Setups: tt.omittedMax},
			}
			got := completeUsages([]gossip.Usage{usage}, accounts, 7)[0].UsedBefore
			if !maps.Equal(got, tt.want) {
				t.Errorf("%v, want %v", got, tt.want)
			}
		})
	}
}
