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
	"coralrelay/internal/fleet/agentapi/routeupdate"
	"coralrelay/internal/fleet/slo"
	"coralrelay/internal/fleet/storedtest"
)

// The files in testdata/stored were written by the code of commit 011f0a6 with
//
//	go test ./internal/fleet/agentapi -run TestStored -update

func storedReport() Report {
	return Report{
		QuotaUsage: balance.QuotaUsage{
			Period: 101, FirstAttempts: 102.5, Retries: 103.5,
			Servers: []balance.ServerUsage{{ID: "server-a", Zone: "zone-a", Load: 0.125, StartedAt: 104,
				WarmingUp: true, SlowStartBudget: 105.5,
				Used: 106, RecentAttempts: 107.5, RecentFailures: 108.5}},
			Zones: []balance.ZoneUsage{{Zone: "zone-b", Used: 109}},
		},
		TableIndex: 110, PartialTableIndex: 111, TablePartsReceived: 112,
		LeaseNumber: 113, LeasePartsReceived: 114, CompleteLeaseNumber: 115,
		Usage: &account.Usage{Member: "node-a", ReportedAt: 116, HalfEpoch: 117,
			Used: map[string]account.Amounts{
				"acme": {Connections: 118, Setups: 119, Retries: 120, Probes: 121}},
			UsedBefore: map[string]account.Amounts{
				"acme/web": {Connections: 122, Setups: 123, Retries: 124, Probes: 125}},
			Demand: map[string]account.Amounts{
				"acme/web:r": {Connections: 126, Setups: 127, Retries: 128, Probes: 129}}},
		Samples: []slo.Sample{{Member: "node-b", Zone: "zone-c", Incarnation: 130, Seq: 131, Interval: 132,
			Regions: []string{"region-a", "region-b"}, Dropped: 133,
			Measurements: []slo.Measurement{
				{Contract: "contract-a", RegionIndex: 1, Histogram: slo.Histogram{2, 3, 1, 4}}}}},
		ContractsVersion: 134,
	}
}

func storedResponse() Response {
	returned, retry := true, true
	return Response{
		QuotaLease: balance.QuotaLease{
			Period: 201, TokensExpireAt: 202, LeaseDuration: 203, RetryBudget: 204.5,
			EjectedServers: []string{"server-a", "server-b"}, ShedFraction: 0.25,
			Servers: []balance.ServerQuota{{ID: "server-c", StartedAt: 205, Tokens: 206}},
			Zones:   []balance.ZoneQuota{{Zone: "zone-a", Share: 0.5, Tokens: 207}},
		},
		Table: &routeupdate.Update{Index: 208, Complete: true, BaseIndex: 209,
			Set: []routeupdate.Entry{{Name: "r", Owner: "acme/web",
				Match: account.Match{Class: "class-a", Tenant: "tenant-a", Group: "group-a",
					HashFrom: 0.125, HashTo: 0.75, Returning: &returned, Retry: &retry},
				ZoneShares: []account.ZoneShare{
					{Zone: "zone-b", Percent: 60}, {Zone: "zone-c", Percent: 40}},
				AllowedZones: []string{"zone-d", "zone-e"}, Contract: "contract-a"}},
			Removed: []string{"acme/web:gone"},
			Allocations: []routeupdate.Allocation{{Contract: "contract-b",
				Shares: map[string]float64{"zone-b": 0.625, "zone-c": 0.375}, RejectedShare: 0.0625}},
			ReadyEndpoints: map[string]int{"zone-b": 210, "zone-c": 211}},
		TableParts: 212,
		Lease: &account.QuotaLease{HalfEpoch: 213, ExpiresAt: 214, HolderRank: 215, HolderCount: 216,
			Allocated: map[string]account.Amounts{
				"acme": {Connections: 217, Setups: 218, Retries: 219, Probes: 220}},
			EvenShares: map[string]account.Amounts{
				"acme/web": {Connections: -1, Setups: 221, Retries: 222, Probes: 223}}},
		LeaseNumber: 224, LeaseParts: 225, More: true,
		Contracts: &ContractList{Version: 226,
			Contracts: []Contract{{Name: "contract-c", Priority: 227, MeasuresMessages: true}}},
	}
}

func storedRequest() OperatorRequest {
	return OperatorRequest{Method: "propose",
		Entry: json.RawMessage(`{"kind":"accounts","by":"","at":301,"body":{}}`)}
}

func storedCallError() CallError {
	return CallError{Message: "what became of it is not known", OutcomeUnknown: true}
}

func storedState() State {
	return State{
		Name: "node-a", Zone: "zone-a", Log: "on", Index: 401, Hash: "00ff",
		Role: "voter", Leader: "node-b", WithinLease: true,
		LastContactMillis: 402, DiskError: "full", ZonesVersion: 403, RejectedShare: 0.25,
		ZoneStatuses: []ZoneStatus{{ObservingZone: "zone-b", Zone: "zone-c", Status: "returning",
			Share: 0.5, Step: 404, Rate: 405.5, ChangedAtMillis: 406, RetryAtMillis: 407, Failures: 408}},
		ZoneLimits: []ZoneLimit{{Zone: "zone-d", Share: 0.75, Rate: 409.5}},
		Members: []Member{{Name: "node-c", Zone: "zone-e", Status: "alive",
			LogAddr: "127.0.0.1:1", Index: 410, ReportedAtMillis: 411}},
	}
}

func TestStoredMessagesRoundTrip(t *testing.T) {
	storedtest.AssertJSON(t, "said.json", storedReport())
	storedtest.AssertJSON(t, "told.json", storedResponse())
	storedtest.AssertJSON(t, "ask.json", storedRequest())
	storedtest.AssertJSON(t, "refusal.json", storedCallError())
	storedtest.AssertJSON(t, "state.json", storedState())
}

// storedAgent checks that requests equal the stored ones, and responds with stored messages.
type storedAgent struct{ t *testing.T }

func (a storedAgent) HandleReport(report Report) Response {
	if want := storedReport(); !reflect.DeepEqual(report, want) {
		a.t.Errorf("report of a node decoded as %+v, want %+v", report, want)
	}
	return storedResponse()
}

func (a storedAgent) HandleOperator(_ context.Context, request OperatorRequest) (any, error) {
	if want := storedRequest(); !reflect.DeepEqual(request, want) {
		a.t.Errorf("request of an operator decoded as %+v, want %+v", request, want)
	}
	callError := storedCallError()
	return nil, &callError
}

// The server distinguishes nodes' reports from operators' requests by their JSON keys.
func TestStoredMessagesAreServed(t *testing.T) {
	client, agent := net.Pipe()
	defer func() { _ = client.Close() }()
	go serveConn(t.Context(), agent, storedAgent{t})
	responses := bufio.NewReader(client)
	for _, exchange := range []struct{ line, answer []byte }{
		{storedtest.AssertJSON(t, "said.json", storedReport()),
			storedtest.AssertJSON(t, "told.json", storedResponse())},
		{storedtest.AssertJSON(t, "ask.json", storedRequest()),
			storedtest.AssertJSON(t, "refusal.json", storedCallError())},
	} {
		if _, err := client.Write(exchange.line); err != nil {
			t.Fatal(err)
		}
		if answer, err := responses.ReadBytes('\n'); err != nil || string(answer) != string(exchange.answer) {
			t.Errorf("%s: response %s, %v, want %s", exchange.line, answer, err, exchange.answer)
		}
	}
}
