package gossip

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/quota"
	"coralrelay/internal/fleet/storedtest"
)

// The files in testdata/stored were written by the code of commit 011f0a6 with
//
//	go test ./internal/fleet/gossip -run TestStored -update

const storedClock = 1_700_000_000 * time.Second

func storedReport() report {
	return report{
		Report: quota.Report{Member: "node-b", Incarnation: 101, Seq: 102, ReportedAt: 103, Period: 104, FirstAttempts: 105.5, Retries: 106.5,
			Usages: []quota.Usage{
				{Endpoint: quota.Endpoint{ID: "server-a", StartedAt: 107}, WarmingUp: true, Demand: 0.125, Spent: 108, PriorSpent: 109, Attempts: 110.5, FailedAttempts: 111.5},
				{Endpoint: quota.ZoneKey("zone-a"), WarmingUp: true, Demand: 0.25, Spent: 112, PriorSpent: 113, Attempts: 114.5, FailedAttempts: 115.5},
			}},
		Zone: "zone-b", LogIndex: 116,
		Observations: []zoneObservation{
			{Zone: "zone-c", Endpoints: 30, Failing: 3, Attempted: 12, Attempts: 21.5, FailedAttempts: 7.25, Load: 0.375, WarmingUp: 4},
			{Zone: "zone-d", Endpoints: 31, Failing: 5, Attempted: 13, Attempts: 22.5, FailedAttempts: 8.25, Load: 0.625, WarmingUp: 6},
		},
	}
}

// storedUsage returns the stored usage message, and the usage that a member decodes from it.
func storedUsage() (usageMessage, Usage) {
	message := usageMessage{Member: "node-b", HalfEpoch: 201, Paths: map[string]usageCounters{"acme": {202, 203, 204}, "acme/web:r": {205, 206, 207}}, OmittedMax: usageCounters{208, 209, 210}}
	return message, Usage{
		Usage: account.Usage{Member: "node-b", ReportedAt: storedClock, HalfEpoch: 201, UsedBefore: map[string]account.Amounts{
			"acme": {Setups: 202, Retries: 203, Probes: 204}, "acme/web:r": {Setups: 205, Retries: 206, Probes: 207}}},
		OmittedMax: account.Amounts{Setups: 208, Retries: 209, Probes: 210},
	}
}

// storedMember returns the member node-a, to which node-b has been added with its stored metadata.
func storedMember(t *testing.T) *Member {
	member := NewMember("node-a", testQuotaConfig, quota.Guards{}, func() time.Duration { return storedClock })
	want := nodeMetadata{Zone: "zone-b", ReplogAddress: "127.0.0.1:1"}
	storedtest.AssertDistinctFields(t, want)
	raw, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	member.SetMemberStatus("node-b", quota.Alive, storedtest.AssertFile(t, "meta.json", raw))
	if got := member.metadata["node-b"]; got != want {
		t.Errorf("metadata decoded as %+v, want %+v", got, want)
	}
	return member
}

// assertStoredMessages checks that the member has merged the stored messages of node-b.
func assertStoredMessages(t *testing.T, member *Member) {
	t.Helper()
	_, usage := storedUsage()
	if got, want := member.reports["node-b"], storedReport(); !reflect.DeepEqual(got, want) {
		t.Errorf("report decoded as %+v, want %+v", got, want)
	}
	if got := member.usages["node-b"]; !reflect.DeepEqual(got, usage) {
		t.Errorf("usage of accounts decoded as %+v, want %+v", got, usage)
	}
}

// Messages are compatible with the version that wrote the stored files in both directions, whether they
// are received one by one or as the complete state after a partition.
func TestStoredGossipIsReadAndWrittenAlike(t *testing.T) {
	member, partitioned := storedMember(t), storedMember(t)
	message, _ := storedUsage()
	storedtest.AssertDistinctFields(t, storedReport())
	storedtest.AssertDistinctFields(t, message)
	member.Receive(storedtest.AssertFile(t, "report.json", storedReport().encode()))
	member.Receive(storedtest.AssertFile(t, "used.json", message.encode()))
	assertStoredMessages(t, member)
	partitioned.receiveState(storedtest.AssertFile(t, "state.json", member.encodeState()))
	assertStoredMessages(t, partitioned)
}

func TestStoredDirectMessageIsDelivered(t *testing.T) {
	member := storedMember(t)
	var got []byte
	member.OnMessage = func(message []byte) { got = bytes.Clone(message) }
	(&delegate{member: member}).NotifyMsg([]byte(`s{"member":"node-b"}`))
	if want := `{"member":"node-b"}`; string(got) != want {
		t.Errorf("delivered %q, want %q", got, want)
	}
}

func TestStoredKeyIsRead(t *testing.T) {
	storedtest.AssertFile(t, "fleet.key", []byte("00112233445566778899aabbccddeeff00112233445566778899aabbccddeef0"))
	want := []byte("\x00\x11\x22\x33\x44\x55\x66\x77\x88\x99\xaa\xbb\xcc\xdd\xee\xff\x00\x11\x22\x33\x44\x55\x66\x77\x88\x99\xaa\xbb\xcc\xdd\xee\xf0")
	if key, err := ReadKey("testdata/stored/fleet.key"); err != nil || !bytes.Equal(key, want) {
		t.Errorf("key decoded as %x, error %v, want %x", key, err, want)
	}
}
