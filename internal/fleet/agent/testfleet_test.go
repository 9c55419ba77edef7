package agent

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/fleet/gossip"
	"coralrelay/internal/fleet/logentry"
	"coralrelay/internal/fleet/quota"
	"coralrelay/internal/fleet/zonestatus"
)

// testZones are the zones of the members n1 to n6, in order. The agent under test is n1.
var testZones = []string{"a", "a", "b", "b", "c", "c"}

// testFleet is an agent with its node and five simulated members. Each of three zones has two members.
type testFleet struct {
	agent        *Agent
	log          *fakeLog
	failureShare map[string]float64 // share of failed attempts by zone, as all members observe it
	halfEpoch    int64
	nodeClient   *apiClient
	dial         func() net.Conn
	startedAt    time.Time
	transcript   bytes.Buffer
}

func newTestFleet(t *testing.T, ctx context.Context) *testFleet {
	zones := zonestatus.DefaultConfig()
	genesis := logentry.Genesis{RootKey: rootKey.Public().(ed25519.PublicKey), Zones: zones}
	f := &testFleet{log: newFakeLog(t, genesis), failureShare: map[string]float64{}, startedAt: time.Now()}
	clock := func() time.Duration { return time.Duration(time.Now().UnixNano()) }
	config := quota.Config{
		Epoch:              1500 * time.Millisecond,
		LeaseTimeout:       time.Minute,
		ReportTTL:          3 * time.Second,
		RetryRatio:         0.2,
		MaxOutlierFraction: 0.25,
	}
	m := gossip.NewMember("n1", config, quota.Guards{}, clock)
	m.Zone = testZones[0]
	for i, z := range testZones[1:] {
		m.SetMemberStatus(fmt.Sprint("n", i+2), quota.Alive, []byte(`{"zone":"`+z+`"}`))
	}
	f.agent = New(Options{
		Name:     "n1",
		Zone:     m.Zone,
		Gossip:   m,
		Log:      f.log,
		LogLease: 2 * time.Second,
		Clock:    clock,
		Zones:    &zones,
		Accounts: &account.LeaseConfig{Epoch: 1500 * time.Millisecond, HolderTimeout: time.Minute, FleetSize: 6},
	})
	l := &pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
	f.dial = l.dial
	go func() {
		if err := agentapi.Serve(ctx, l, f.agent); err != nil {
			t.Error(err)
		}
	}()
	f.nodeClient = newAPIClient(f.dial())
	return f
}

// receiveReports delivers the reports of the other members to the agent.
func (f *testFleet) receiveReports(seq int) {
	const format = `{"member":"n%d","boot":1,"seq":%d,"at":%d,"firsts":10,"zone":"%s","sights":[%s]}`
	var observations []string
	for _, to := range []string{"a", "b", "c"} {
		failing := 0
		if f.failureShare[to] >= 0.5 {
			failing = 2
		}
		observations = append(observations, fmt.Sprintf(`["%s",2,%d,2,10,%g,0.4,0]`, to, failing, 10*f.failureShare[to]))
	}
	for i, z := range testZones[1:] {
		f.agent.Gossip.Receive(fmt.Appendf(nil, format, i+2, seq, time.Now().UnixNano(), z, strings.Join(observations, ",")))
	}
}

// quotaUsage returns the node's quota usage, with the same failures as the other members observe.
func (f *testFleet) quotaUsage() (usage balance.QuotaUsage) {
	usage.Period = f.halfEpoch
	for _, z := range []string{"a", "b", "c"} {
		for i := range 2 {
			usage.Servers = append(usage.Servers, balance.ServerUsage{
				ID:             fmt.Sprint("s-", z, i),
				Zone:           z,
				Load:           0.4,
				RecentAttempts: 5,
				RecentFailures: 5 * f.failureShare[z],
			})
		}
	}
	return usage
}

// pollAgent sends a report of the node. It returns the response, and the lines of both.
func (f *testFleet) pollAgent(t *testing.T, report agentapi.Report) (
	response agentapi.Response, reportLine, responseLine string) {
	t.Helper()
	raw, err := json.Marshal(report)
	if err != nil {
		t.Fatal(err)
	}
	answer, err := f.nodeClient.request(string(raw))
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal([]byte(answer), &response); err != nil {
		t.Fatal(err)
	}
	return response, string(raw), strings.TrimSpace(answer)
}

// askAsOperator sends an operator's request on a new connection, and writes the agent's response to the
// transcript.
func (f *testFleet) askAsOperator(t *testing.T, line string) {
	t.Helper()
	client := newAPIClient(f.dial())
	answer, err := client.request(line)
	if err != nil {
		t.Error(err)
	}
	f.writeTranscript("agent", "%s", strings.TrimSpace(answer))
	_ = client.conn.Close()
}

// run runs the agent until ctx ends. The returned channel is closed after the agent has stopped.
func (f *testFleet) run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.agent.Run(ctx)
	}()
	return done
}

// writeTranscript appends a line with the time since the start to the transcript.
func (f *testFleet) writeTranscript(source, format string, args ...any) {
	fmt.Fprintf(&f.transcript, "%5.2f  %-9s %s\n", time.Since(f.startedAt).Seconds(), source, fmt.Sprintf(format, args...))
}
