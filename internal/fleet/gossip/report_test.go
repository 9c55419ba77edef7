package gossip

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"coralrelay/balance"
	"coralrelay/internal/fleet/quota"
)

// An oversized report loses the endpoints with the fewest attempts. Spent tokens and the observations
// of 12 zones are kept.
func TestReportFitsOneMessage(t *testing.T) {
	oversized := report{
		Report: quota.Report{
			Member:      strings.Repeat("n", 64),
			Incarnation: 1.7e18,
			Seq:         1e9,
			ReportedAt:  1.7e18,
			Period:      2e9,
		},
		Zone:     strings.Repeat("z", maxZoneNameBytes),
		LogIndex: 1e9,
	}
	var servers []balance.ServerUsage
	for i := range 500 {
		usage := quota.Usage{
			Endpoint:       quota.Endpoint{ID: fmt.Sprintf("s-%08x", i), StartedAt: 1_700_000_000_000},
			Attempts:       float64(i),
			WarmingUp:      i == 7,
			FailedAttempts: float64(i % 100 / 99),
		}
		oversized.Usages = append(oversized.Usages, usage)
		servers = append(servers, balance.ServerUsage{
			ID:             usage.ID,
			Zone:           fmt.Sprintf("a-zone-of-a-long-name-%02d", i%14),
			RecentAttempts: 12.3456789,
			RecentFailures: 1.0 / 3,
			Load:           1.0 / 7,
		})
	}
	oversized.Usages = append(oversized.Usages, quota.Usage{Endpoint: quota.ZoneKey("b"), Spent: 3})
	oversized.Observations = observeZones(servers)
	raw := oversized.encode()
	if len(raw) > maxPayloadBytes {
		t.Errorf("report of %d bytes, want at most maxPayloadBytes", len(raw))
	}
	for _, want := range []string{
		"s-00000007",
		`"id":"b","started":-1,"spent":3`,
		`["a-zone-of-a-long-name-00",36,0,36,444,12,0.143,0]`,
	} {
		if !strings.Contains(string(raw), want) {
			t.Errorf("%s is missing in %s", want, raw)
		}
	}
	if got, err := decodeReport(raw); err != nil || len(got.Observations) != maxZones || !got.isValid() {
		t.Errorf("report decoded as %+v, error %v", got, err)
	}
	for i := range oversized.Observations {
		oversized.Observations[i].Zone = strings.Repeat("\x01", maxZoneNameBytes) // six bytes each
	}
	if raw := oversized.encode(); len(raw) > maxPayloadBytes {
		t.Errorf("report of %d bytes with escaped zone names, want at most maxPayloadBytes", len(raw))
	}
}

func TestObserveZonesSumsEndpointsByZone(t *testing.T) {
	got := observeZones([]balance.ServerUsage{
		{ID: "1", Zone: "b", Load: 0.5, RecentAttempts: 1.5, RecentFailures: 4},
		{ID: "2", Zone: "b", Load: -1, RecentAttempts: 4, RecentFailures: 1, WarmingUp: true},
		{ID: "3", Zone: "b", Load: 0.25, RecentAttempts: 0.4, RecentFailures: 0.4},
		{ID: "4", Zone: "a", Load: -1},
		{ID: "5"},
	})
	want := []zoneObservation{
		{Zone: "a", Endpoints: 1, Load: -1},
		{Zone: "b", Endpoints: 3, Failing: 1, Attempted: 3, Attempts: 8.4, FailedAttempts: 5.4, Load: 0.375, WarmingUp: 1},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("observations %+v, want %+v", got, want)
	}
}

// A report of an older version is accepted; an invalid report, or one of an unknown member, is rejected.
func TestReceiveRejectsInvalidReports(t *testing.T) {
	const counters = `{"member":"n2","boot":1,"seq":1,"firsts":3`
	const withZone = counters + `,"zone":"a"`
	for _, tt := range []struct {
		name, raw                    string
		wantReports, wantZoneReports int
	}{
		{"older version", counters + `}`, 1, 0},
		{"observation", withZone + `,"sights":[["b",4,1,3,9,2.5,-1,0]]}`, 1, 1},
		{"unknown key", withZone + `,"later":{"x":1},"sights":[]}`, 1, 1},
		{"more failing endpoints than there are", withZone + `,"sights":[["b",4,5,3,9,2.5,-1,0]]}`, 0, 0},
		{"negative attempts", withZone + `,"sights":[["b",4,1,3,-9,2.5,-1,0]]}`, 0, 0},
		{"too few fields", withZone + `,"sights":[["b",4,1]]}`, 0, 0},
		{"too many fields", withZone + `,"sights":[["b",4,1,3,9,2.5,-1,0,"x"]]}`, 0, 0},
		{"unknown member", `{"member":"stranger","boot":1,"seq":1,"firsts":3,"zone":"a"}`, 0, 0},
		{"no JSON", `{"member":`, 0, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			member := NewMember("n1", testQuotaConfig, quota.Guards{}, systemClock)
			member.Receive([]byte(tt.raw)) // rejected: its member is not known yet
			member.SetMemberStatus("n2", quota.Alive, []byte(`{"zone":"a","record":"127.0.0.1:1"}`))
			member.Receive([]byte(tt.raw))
			member.Receive([]byte(tt.raw))
			if len(member.reports) != tt.wantReports || len(member.ZoneReports()) != tt.wantZoneReports {
				t.Errorf("%s: %d reports, zone reports %v", tt.raw, len(member.reports), member.ZoneReports())
			}
			members := member.Members()
			if len(members) != 2 || members[1].Zone != "a" || members[1].ReplogAddress != "127.0.0.1:1" {
				t.Errorf("%+v", members)
			}
		})
	}
}
