package simproto

import (
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"coralrelay/balance"
)

const millisecond = time.Millisecond

// readBatches returns the batches of an input and the error that ended reading.
func readBatches(input string) ([]Batch, error) {
	r := NewReader(strings.NewReader(input))
	var batches []Batch
	for {
		var b Batch
		if err := r.Read(&b); err != nil {
			return batches, err
		}
		batches = append(batches, b)
	}
}

// readOneDelivery reads a batch that consists of one line and returns its only delivery.
func readOneDelivery(t *testing.T, line string) Delivery {
	t.Helper()
	batches, err := readBatches(`{"cmd":"Clock","simTime":2.5,"round":7}` + "\n" + line + "\n" + `{"cmd":"OverToYou"}` + "\n")
	if !errors.Is(err, io.EOF) || len(batches) != 1 || len(batches[0].Deliveries) != 1 {
		t.Fatalf("got %v, %v; want one batch with one delivery", batches, err)
	}
	if batches[0].Now != 2500*millisecond || batches[0].Round != 7 {
		t.Fatalf("time %v, round %d; want 2.5s and 7", batches[0].Now, batches[0].Round)
	}
	return batches[0].Deliveries[0]
}

func utilization(v float64) balance.LoadReport {
	l := balance.EmptyLoadReport
	l.Utilization = v
	return l
}

func TestDecodesEvents(t *testing.T) {
	loadReport := balance.LoadReport{Utilization: 0.5, CPUUtilization: 0.25, Inflight: 7, LatencyMillis: 12}
	tests := []struct {
		name, line string
		want       balance.Event
	}{
		{"request", `{"cmd":"Demand","who":2,"ref":"c:one","cameBack":true,"realm":"north","teamId":"p:g","midFlow":true,` +
			`"grade":"chat","entity":"k:z","cost":0.25,"againByClient":true,"deadline":3.75}`,
			balance.Request{ID: "c:one", Class: "chat", Group: "p:g", LoadHint: 0.25,
				Reconnecting: true, ClientRetry: true, Deadline: 3750 * millisecond}},
		{"request with nulls", `{"cmd":"Demand","who":2,"ref":"c:one","cameBack":false,"realm":null,"teamId":null,` +
			`"midFlow":false,"grade":"chat","entity":null,"cost":null,"againByClient":false,"deadline":3.75,"novel":[1]}`,
			balance.Request{ID: "c:one", Class: "chat", Deadline: 3750 * millisecond}},
		{"reconnecting request", `{"cmd":"Demand","who":2,"ref":"c:one","cameBack":true,"grade":"chat","deadline":1}`,
			balance.Request{ID: "c:one", Class: "chat", Reconnecting: true, Deadline: time.Second}},
		{"tenant as a number", `{"cmd":"Demand","who":2,"ref":"c:one","realm":0,"grade":"chat","deadline":1}`,
			balance.Request{ID: "c:one", Class: "chat", Deadline: time.Second}},
		{"open connection", `{"cmd":"Handover","who":2,"ref":"c:two","grade":"chat","server":"s.a","deadline":1}`,
			balance.OpenConnection{Request: balance.Request{ID: "c:two", Class: "chat", Deadline: time.Second}, Server: "s.a"}},
		{"started", `{"cmd":"Opened","who":2,"ref":"c:one","hop":1,"server":"s.a","lag":0.009}`,
			balance.ConnectionEstablished{ID: "c:one", Attempt: 1, Server: "s.a", Latency: 9 * millisecond}},
		{"progress with load", `{"cmd":"Progress","who":2,"ref":"c:one","hop":0,"server":"s.a","kind":1,"x":250000}`,
			nil},
		{"progress with latency", `{"cmd":"Progress","who":2,"ref":"c:one","hop":0,"server":"s.a","kind":2,"x":31.5}`,
			nil},
		{"progress of an unknown kind", `{"cmd":"Progress","who":2,"ref":"c:one","kind":9,"x":1}`, nil},
		{"attempt ended", `{"cmd":"Completed","who":2,"ref":"c:one","hop":1,"server":"s.a","rc":4,"lag":0.25,` +
			`"complete":false,"report":null}`,
			balance.AttemptEnded{ID: "c:one", Attempt: 1, Server: "s.a", Outcome: balance.ConnectFailed,
				Latency: 250 * millisecond, LoadReport: balance.EmptyLoadReport}},
		{"attempt served with a load report", `{"cmd":"Completed","who":2,"ref":"c:one","hop":0,"server":"s.a","rc":1,` +
			`"lag":0.02,"complete":true,"report":{"x0":0.5}}`,
			balance.AttemptEnded{ID: "c:one", Server: "s.a", Outcome: balance.OK, Latency: 20 * millisecond, Final: true, LoadReport: utilization(0.5)}},
		{"unknown outcome", `{"cmd":"Completed","who":2,"ref":"c:one","hop":0,"server":"s.a","rc":99,"lag":0}`,
			balance.AttemptEnded{ID: "c:one", Server: "s.a", Outcome: balance.Errored, LoadReport: balance.EmptyLoadReport}},
		{"client gone", `{"cmd":"Abandoned","who":2,"ref":"c:one"}`, balance.ClientGone{ID: "c:one"}},
		{"timer", `{"cmd":"DeadlineHit","who":2,"ctx":9223372036854775807}`,
			balance.TimerFired{Token: 9223372036854775807}},
		{"probe result", `{"cmd":"StatusBack","who":2,"server":"s.a","rc":1,"lag":0.0014,"report":{"x0":0.5,"x1":1,` +
			`"utilization":0.25,"outstanding":7,"backlog":2,"recent_ms":12,"throughput":40,"errors_per_s":0.5,"mood":3}}`,
			balance.ProbeResult{Server: "s.a", Outcome: balance.OK, Latency: 1400 * time.Microsecond, LoadReport: loadReport}},
		{"message from a peer", `{"cmd":"Memo","who":2,"originPeer":5,"raw":"aGkgNw=="}`,
			nil},
		{"cached list", `{"cmd":"Update","who":2,"mode":"C","stamp":4,"table":null}`,
			balance.ListUpdate{Kind: balance.ListCached}},
		{"failed list", `{"cmd":"Update","who":2,"mode":"X","stamp":4,"table":null}`,
			balance.ListUpdate{Kind: balance.ListFailed}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := readOneDelivery(t, tt.line); got.Instance != 2 || !reflect.DeepEqual(got.Event, tt.want) {
				t.Errorf("got %#v\nwant %#v", got.Event, tt.want)
			}
		})
	}
}

func TestDecodesOutcomes(t *testing.T) {
	want := []balance.Outcome{balance.Errored, balance.OK, balance.AtCapacity, balance.TimedOut, balance.ConnectFailed,
		balance.Reset, balance.Cancelled, balance.NotSent}
	for code, outcome := range want {
		if got := toOutcome(code); got != outcome {
			t.Errorf("outcome of code %d is %d, want %d", code, got, outcome)
		}
	}
}

// A list number may be reused within a batch: each update gets the list that was registered under
// the number when the update was read.
func TestReusedListNumberKeepsEarlierUpdate(t *testing.T) {
	batches, err := readBatches(`{"cmd":"Clock","simTime":1,"round":1}
{"cmd":"Register","table":0,"nodesList":[{"server":"s.a","az":"north","familyType":"big","cohort":3,"status":"SERVING","size":1.5,"startedAt":6.5},{"server":"s.b","az":"south","familyType":"big","cohort":0,"status":"DRAINING","size":1,"startedAt":null}]}
{"cmd":"Update","who":1,"mode":"F","stamp":41,"table":0}
{"cmd":"Register","table":0,"nodesList":[{"server":"s.c","az":"north","familyType":"big","cohort":0,"status":"DELETED","size":1,"startedAt":0}]}
{"cmd":"Update","who":1,"mode":"D","stamp":42,"table":0}
{"cmd":"OverToYou"}
`)
	if !errors.Is(err, io.EOF) || len(batches) != 1 {
		t.Fatal(batches, err)
	}
	want := []balance.Event{
		balance.ListUpdate{Kind: balance.ListFull, Entries: []balance.ServerEntry{
			{ID: "s.a", Zone: "north", Cell: 3, StartedAt: 6500 * millisecond},
			{ID: "s.b", Zone: "south", State: balance.Draining}}},
		balance.ListUpdate{Kind: balance.ListDelta, Entries: []balance.ServerEntry{
			{ID: "s.c", Zone: "north", State: balance.Gone}}},
	}
	for i, d := range batches[0].Deliveries {
		if !reflect.DeepEqual(d.Event, want[i]) {
			t.Errorf("got %#v\nwant %#v", d.Event, want[i])
		}
	}
}

func TestDecodesInitAndDestroy(t *testing.T) {
	d := readOneDelivery(t, `{"cmd":"Init","who":2,"entropy":77,"env":{"classes":[{"name":"chat","objective":0.8,"deadline":3.2,`+
		`"effect":"idempotency_key","group":"zone","window":5,"credit":2}],"countedBy":"work","slotNo":2,"nInstances":9,`+
		`"domain":{"groups":true,"messageAim":[0.06],"mode":"pass","park":4,"tenantQuotaConnections":[12.5]},`+
		`"granularity":0.002,"guarantees":{"askWithin":10,"coldFrom":0.12,"drainGrace":2,"graceToAnswer":0.008,`+
		`"rampTime":23,"tipAfter":2,"tipMultiple":4},"limits":{"connectTimeout":0.25,"maxRetryAfter":1.5,"mostTries":6,`+
		`"peers":true,"probing":true,"retryAfter":true,"secondCopies":false},"registryMode":"on_request",`+
		`"report":{"fields":["x0"],"via":"answers"},"tenants":[{"name":"north"}],"weights":"rough","zone":"north","new":1}}`)
	want := balance.Settings{Instance: 2, Instances: 9, Tick: 2 * millisecond, SubscribeRequired: true,
		SubscribeTimeout: 10 * time.Second,
		Classes: []balance.Class{{Name: "chat", LatencyObjective: 800 * millisecond, Deadline: 3200 * millisecond, MessageLatencyObjective: 60 * millisecond,
			Idempotency: balance.IdempotencyKeyed, KeyScope: balance.ScopeZone, KeyWindow: 5 * time.Second}},
		Rules: balance.Rules{AnswerGrace: 8 * millisecond, DrainGrace: 2 * time.Second, InitialCapacity: 0.12, SlowStartWindow: 23 * time.Second,
			OverloadMultiple: 4, OverloadDuration: 2 * time.Second},
		Limits: balance.Limits{ProbesAllowed: true, SendRetryAfter: true, MaxAttempts: 6,
			MaxRetryAfter: 1500 * millisecond, ConnectTimeout: 250 * millisecond},
		LoadReporting: balance.LoadReporting{InOutcomes: true, InProbeResults: true},
		Connections:   balance.ConnectionTraits{GroupAffinity: true}}
	if d.Start == nil || d.Start.Err != nil || d.Start.Seed != 77 || !reflect.DeepEqual(d.Start.Settings, want) {
		t.Errorf("got %+v\nwant %+v", d.Start, want)
	}
	if d := readOneDelivery(t, `{"cmd":"Destroy","who":3}`); !d.Stop || d.Instance != 3 {
		t.Errorf("got %+v, want a stop of 3", d)
	}
	d = readOneDelivery(t, `{"cmd":"Init","who":2,"entropy":1,"env":{"classes":[{"name":"chat","effect":"perhaps"}]}}`)
	if d.Start.Err == nil || !strings.Contains(d.Start.Err.Error(), "perhaps") {
		t.Errorf("unknown effect: error %v", d.Start.Err)
	}
}

func TestMalformedInputIsError(t *testing.T) {
	clock, end := `{"cmd":"Clock","simTime":1,"round":5}`+"\n", `{"cmd":"OverToYou"}`+"\n"
	tests := []struct {
		name, input string
		want        []string
	}{
		{"no JSON", clock + "what\n" + end, []string{"batch 5", "what"}},
		{"unknown message", clock + `{"cmd":"Sing","who":1}` + "\n" + end, []string{"batch 5", "Sing"}},
		{"outside of a batch", `{"cmd":"Abandoned","who":1,"ref":"c:a"}` + "\n", []string{"batch 0", "Abandoned"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := readBatches(tt.input)
			if err == nil || errors.Is(err, io.EOF) {
				t.Fatalf("error %v, want an error about the input", err)
			}
			for _, w := range tt.want {
				if !strings.Contains(err.Error(), w) {
					t.Errorf("error %q does not contain %q", err, w)
				}
			}
		})
	}
}

func TestInputMayEndWithinBatch(t *testing.T) {
	for _, input := range []string{"", `{"cmd":"Clock","simTime":1,"round":5}` + "\n"} {
		if batches, err := readBatches(input); !errors.Is(err, io.EOF) || len(batches) != 0 {
			t.Errorf("%q: %v, %v; want io.EOF and no batch", input, batches, err)
		}
	}
}

func TestEncodesActions(t *testing.T) {
	tests := []struct {
		action balance.Action
		want   string
	}{
		{balance.Attempt{ID: "c:one", Server: "s.a", Timeout: 80 * millisecond},
			`{"cmd":"Assign","who":3,"ref":"c:one","server":"s.a","timeout":0.080000}`},
		{balance.Attempt{ID: "c:one", Server: "s.a"}, `{"cmd":"Assign","who":3,"ref":"c:one","server":"s.a"}`},
		{balance.Reject{ID: "c:one", RetryAfter: 250 * millisecond}, `{"cmd":"Refuse","who":3,"ref":"c:one","pause":0.250000}`},
		{balance.Reject{ID: "c:one"}, `{"cmd":"Refuse","who":3,"ref":"c:one"}`},
		{balance.Fail{ID: "c:one"}, `{"cmd":"Abort","who":3,"ref":"c:one"}`},
		{balance.Migrate{ID: "c:one"}, `{"cmd":"Evict","who":3,"ref":"c:one"}`},
		{balance.Probe{Server: "s.a"}, `{"cmd":"HealthCheck","who":3,"server":"s.a"}`},
		{balance.SetTimer{Delay: 500 * millisecond, Token: 77}, `{"cmd":"SetAlarm","who":3,"fromNow":0.500000,"ctx":77}`},
		{balance.Subscribe{}, `{"cmd":"KeepInformed","who":3,"enable":true}`},
		{balance.Log{Text: `two "known"`}, `{"cmd":"Log","who":3,"words":"two \"known\""}`},
	}
	for _, tt := range tests {
		if got := string(AppendAction(nil, 3, tt.action)); got != tt.want+"\n" {
			t.Errorf("%T: got %swant %s", tt.action, got, tt.want)
		}
	}
	if got := string(AppendError(nil, 3, "no\nidea")); got != `{"cmd":"Broken","who":3,"words":"no\nidea"}`+"\n" {
		t.Errorf("error: got %s", got)
	}
	if got := string(AppendDone(nil, 12)); got != `{"cmd":"Ok","round":12}`+"\n" {
		t.Errorf("done: got %s", got)
	}
}

func FuzzRead(f *testing.F) {
	f.Add(`{"cmd":"Clock","simTime":1,"round":1}` + "\n" + `{"cmd":"Demand","who":1,"ref":"c:a"}` + "\n" + `{"cmd":"OverToYou"}`)
	f.Add(`{"cmd":"Clock","simTime":1e300,"round":-1}` + "\n" + `{"cmd":"Init","env":{}}` + "\n" + `{"cmd":"OverToYou"}`)
	f.Add("{\n[]\n")
	f.Fuzz(func(t *testing.T, input string) {
		if _, err := readBatches(input); err == nil {
			t.Error("no error at the end of the input")
		}
	})
}
