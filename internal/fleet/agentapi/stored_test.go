package agentapi

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"reflect"
	"testing"

	"coralrelay/balance"
	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/slo"
	"coralrelay/internal/fleet/storedtest"
	"coralrelay/internal/route"
)

// The files in testdata/stored were written by the code of commit 011f0a6 with
//
//	go test ./internal/fleet/agentapi -run TestStored -update

func storedSaid() Said {
	return Said{
		QuotaUsage: balance.QuotaUsage{
			Period: 101, FirstAttempts: 102.5, Retries: 103.5,
			Servers: []balance.ServerUsage{{ID: "server-a", Zone: "zone-a", Load: 0.125, StartedAt: 104, WarmingUp: true,
				ColdBudget: 105.5, Used: 106, RecentAttempts: 107.5, RecentFailures: 108.5}},
			Zones: []balance.ZoneUsage{{Zone: "zone-b", Used: 109}},
		},
		Table: 110, Toward: 111, Part: 112, Deal: 113, Piece: 114, Even: 115,
		Uses: &account.Usage{Member: "node-a", ReportedAt: 116, HalfEpoch: 117,
			Used:       map[string]account.Amounts{"acme": {Connections: 118, Setups: 119, Retries: 120, Probes: 121}},
			UsedBefore: map[string]account.Amounts{"acme/web": {Connections: 122, Setups: 123, Retries: 124, Probes: 125}},
			Demand:     map[string]account.Amounts{"acme/web:r": {Connections: 126, Setups: 127, Retries: 128, Probes: 129}}},
		Samples: []slo.Sample{{Member: "node-b", Zone: "zone-c", Incarnation: 130, Seq: 131, Interval: 132,
			Regions: []string{"region-a", "region-b"}, Dropped: 133,
			Measurements: []slo.Measurement{{Contract: "contract-a", RegionIndex: 1, Histogram: slo.Histogram{2, 3, 1, 4}}}}},
		Contracts: 134,
	}
}

func storedTold() Told {
	returned, retry := true, true
	return Told{
		QuotaLease: balance.QuotaLease{
			Period: 201, TokensExpireAt: 202, LeaseDuration: 203, RetryBudget: 204.5, EjectedServers: []string{"server-a", "server-b"}, ShedFraction: 0.25,
			Servers: []balance.ServerQuota{{ID: "server-c", StartedAt: 205, Tokens: 206}},
			Zones:   []balance.ZoneQuota{{Zone: "zone-a", Share: 0.5, Tokens: 207}},
		},
		Table: &route.Update{Index: 208, Complete: true, BaseIndex: 209,
			Set: []route.Entry{{Name: "r", Owner: "acme/web",
				Match:        account.Match{Class: "class-a", Tenant: "tenant-a", Group: "group-a", HashFrom: 0.125, HashTo: 0.75, Returning: &returned, Retry: &retry},
				ZoneShares:   []account.ZoneShare{{Zone: "zone-b", Percent: 60}, {Zone: "zone-c", Percent: 40}},
				AllowedZones: []string{"zone-d", "zone-e"}, Contract: "contract-a"}},
			Removed:        []string{"acme/web:gone"},
			Allocations:    []route.Allocation{{Contract: "contract-b", Shares: map[string]float64{"zone-b": 0.625, "zone-c": 0.375}, RejectedShare: 0.0625}},
			ReadyEndpoints: map[string]int{"zone-b": 210, "zone-c": 211}},
		Parts: 212,
		Rights: &account.QuotaLease{HalfEpoch: 213, ExpiresAt: 214, HolderRank: 215, HolderCount: 216,
			Allocated:  map[string]account.Amounts{"acme": {Connections: 217, Setups: 218, Retries: 219, Probes: 220}},
			EvenShares: map[string]account.Amounts{"acme/web": {Connections: -1, Setups: 221, Retries: 222, Probes: 223}}},
		Deal: 224, Pieces: 225, More: true,
		Promised: &Promised{Version: 226, Contracts: []Contract{{Name: "contract-c", Priority: 227, Messages: true}}},
	}
}

func storedAsk() Ask {
	return Ask{Ask: "propose", Entry: json.RawMessage(`{"kind":"accounts","by":"","at":301,"body":{}}`)}
}

func storedRefusal() Refusal { return Refusal{Text: "what became of it is not known", Unknown: true} }

func storedState() State {
	return State{
		Name: "node-a", Zone: "zone-a", Record: "on", Index: 401, Hash: "00ff", Role: "voter", Leader: "node-b", Fresh: true,
		Heard: 402, Disk: "full", Version: 403, Over: 0.25,
		Postures: []Seen{{From: "zone-b", To: "zone-c", Posture: "returning", Share: 0.5, Step: 404, Rate: 405.5, Since: 406, Until: 407, Fails: 408}},
		Bounds:   []Bound{{Zone: "zone-d", Share: 0.75, Rate: 409.5}},
		Members:  []Peer{{Name: "node-c", Zone: "zone-e", Status: "alive", Record: "127.0.0.1:1", Index: 410, At: 411}},
	}
}

func TestStoredLinesAreReadAndWrittenAlike(t *testing.T) {
	storedtest.AssertJSON(t, "said.json", storedSaid())
	storedtest.AssertJSON(t, "told.json", storedTold())
	storedtest.AssertJSON(t, "ask.json", storedAsk())
	storedtest.AssertJSON(t, "refusal.json", storedRefusal())
	storedtest.AssertJSON(t, "state.json", storedState())
}

// storedAgent takes the stored lines alone, and answers with stored ones.
type storedAgent struct{ t *testing.T }

func (a storedAgent) Answer(said Said) Told {
	if want := storedSaid(); !reflect.DeepEqual(said, want) {
		a.t.Errorf("a node's line is read as %+v, want %+v", said, want)
	}
	return storedTold()
}

func (a storedAgent) Operator(_ context.Context, ask Ask) (any, error) {
	if want := storedAsk(); !reflect.DeepEqual(ask, want) {
		a.t.Errorf("an operator's line is read as %+v, want %+v", ask, want)
	}
	refusal := storedRefusal()
	return nil, &refusal
}

// The agent tells nodes' lines from operators' by what stands in them.
func TestStoredConversation(t *testing.T) {
	caller, agent := net.Pipe()
	defer func() { _ = caller.Close() }()
	go converse(t.Context(), agent, storedAgent{t})
	answers := bufio.NewReader(caller)
	for _, exchange := range []struct{ line, answer []byte }{
		{storedtest.AssertJSON(t, "said.json", storedSaid()), storedtest.AssertJSON(t, "told.json", storedTold())},
		{storedtest.AssertJSON(t, "ask.json", storedAsk()), storedtest.AssertJSON(t, "refusal.json", storedRefusal())},
	} {
		if _, err := caller.Write(exchange.line); err != nil {
			t.Fatal(err)
		}
		if answer, err := answers.ReadBytes('\n'); err != nil || string(answer) != string(exchange.answer) {
			t.Errorf("%s is answered with %s, %v, want %s", exchange.line, answer, err, exchange.answer)
		}
	}
}
