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

// rootKey is the root key of a testFleet's replicated log. Its holder may create accounts.
var rootKey = ed25519.NewKeyFromSeed([]byte("the root of the tests' own fleet"))

// signedEntry returns an operator's entry, signed with rootKey, as JSON.
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

// Operators can propose neither zone statuses nor allocations, even in a signed entry, and no entry
// without a signature.
func TestOperatorsCannotProposeFleetDecisions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, t.Context())
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
				answer, err := fleet.agent.HandleOperator(t.Context(), request)
				if err == nil || !strings.Contains(err.Error(), tt.want) {
					t.Errorf("%s %s: response %v, error %v", method, tt.entry, answer, err)
				}
			}
		}
		if i := fleet.log.View().State.Index; i != 0 {
			t.Errorf("log index is %d after rejected entries, want 0", i)
		}
	})
}

// accountChanges returns changes of an account, in order. Among them are a team that requests more than
// the account's limits leave, and a reduction of the account's limits.
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

// The node receives the routes and limits of the accepted account changes, and of no others.
func TestAccountChangesReachTheNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fleet := newTestFleet(t, ctx)
		fleet.log.change(func(v *replog.View) { v.WithinLease, v.ConfirmedAt = true, time.Now() })
		done := fleet.run(ctx)
		node := accountsNode{testFleet: fleet, reassembler: agentapi.NewReassembler(testMemoryMB)}
		for _, change := range accountChanges() {
			body := fmt.Sprintf(`{"base":%d,"ops":[%s]}`, fleet.log.View().State.Accounts.Version, change)
			fleet.writeTranscript("operator", "proposes, signed by the root: %s", body)
			fleet.askAsOperator(t, `{"ask":"propose","entry":`+signedEntry(logentry.KindAccounts, body)+`}`)
			time.Sleep(150 * time.Millisecond)
			node.reportUnusedQuotas()
			node.poll(t)
		}
		goldie.New(t).Assert(t, "accounts", fleet.transcript.Bytes())
		cancel()
		<-done
	})
}

// testMemoryMB is the memory of a node in MiB.
const testMemoryMB = 192

// accountsNode is the node of a testFleet. It keeps the progress of its route table and lease.
type accountsNode struct {
	*testFleet
	report      agentapi.Report
	reassembler *agentapi.Reassembler
}

// reportUnusedQuotas delivers reports of no usage from the other members, if it is the second half of an
// epoch.
func (n *accountsNode) reportUnusedQuotas() {
	halfEpoch := time.Now().UnixNano() / int64(750*time.Millisecond)
	if halfEpoch%2 == 0 {
		return
	}
	for i := range testZones[1:] {
		n.agent.Gossip.Receive(fmt.Appendf(nil, `{"used":"n%d","half":%d,"paths":{}}`, i+2, halfEpoch))
	}
}

// poll sends the node's report, and writes new route tables and leases in the response to the transcript.
func (n *accountsNode) poll(t *testing.T) {
	t.Helper()
	n.reassembler.FillProgress(&n.report)
	response, _, _ := n.pollAgent(t, n.report)
	table, isComplete, err := n.reassembler.AddTable(&response)
	if err != nil {
		t.Fatal(err)
	}
	if isComplete {
		routes, _ := json.Marshal(table.Set)
		n.writeTranscript("agent", "to its node: whole %v, routes %s, gone %v", table.Complete, routes, table.Removed)
		n.report.TableIndex = table.Index
	}
	lease, isComplete, err := n.reassembler.AddLease(&response)
	if err != nil {
		t.Fatal(err)
	}
	if isComplete {
		allocated, _ := json.Marshal(lease.Allocated)
		n.writeTranscript("agent", "to its node: rights of half %d %s", lease.HalfEpoch%2, allocated)
	}
}

// A path that a report has omitted counts as used as much as its OmittedMax. A path is not filled in if
// none of its limits is reallocated, and neither complete reports nor those of other half epochs are
// changed.
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
				t.Errorf("usage %v, want %v", got, tt.want)
			}
		})
	}
}
