package settings

import (
	"bytes"
	"os"
	"reflect"
	"testing"
	"time"

	"coralrelay/balance"
)

// testdata/stored/settings.json has every key, and every value of the keys with a fixed set of values. It
// must always decode to the same settings. The file is written by hand, as no program writes settings.
func TestReadsStoredSettings(t *testing.T) {
	raw, err := os.ReadFile("testdata/stored/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	const ms = time.Millisecond
	stored := func() balance.Settings {
		return balance.Settings{Instance: 2, Instances: 9, Tick: 4 * ms, SubscribeRequired: true, SubscribeTimeout: 10500 * ms,
			Classes: []balance.Class{
				{Name: "feed", LatencyObjective: 110 * ms, Deadline: 1120 * ms, MessageLatencyObjective: 140 * ms, Idempotency: balance.Idempotent, KeyScope: balance.ScopeAll, KeyWindow: 130 * ms},
				{Name: "chat", LatencyObjective: 210 * ms, Deadline: 2220 * ms, MessageLatencyObjective: 240 * ms, Idempotency: balance.IdempotencyKeyed, KeyScope: balance.ScopeZone, KeyWindow: 230 * ms},
				{Name: "bulk", LatencyObjective: 310 * ms, Deadline: 3320 * ms, MessageLatencyObjective: 340 * ms, Idempotency: balance.NonIdempotent, KeyScope: balance.ScopeCell, KeyWindow: 330 * ms}},
			Rules: balance.Rules{AnswerGrace: 16 * ms, DrainGrace: 300 * ms, InitialCapacity: 0.2, SlowStartWindow: 20500 * ms,
				OverloadMultiple: 3, OverloadDuration: 1500 * ms},
			Limits:        balance.Limits{ProbesAllowed: true, SendRetryAfter: true, MaxAttempts: 6, MaxRetryAfter: 1250 * ms, ConnectTimeout: 250 * ms},
			LoadReporting: balance.LoadReporting{InProbeResults: true},
			Connections:   balance.ConnectionTraits{GroupAffinity: true}}
	}
	for _, tt := range []struct { // booleans change one at a time, so that a swap of two is detected
		old, new string
		change   func(s *balance.Settings)
	}{
		{"", "", func(*balance.Settings) {}},
		{`"groups": true`, `"groups": false`, func(s *balance.Settings) { s.Connections.GroupAffinity = false }},
		{`"probing": true`, `"probing": false`, func(s *balance.Settings) { s.Limits.ProbesAllowed = false }},
		{`"retryAfter": true`, `"retryAfter": false`, func(s *balance.Settings) { s.Limits.SendRetryAfter = false }},
		{`"on_request"`, `"pushed"`, func(s *balance.Settings) { s.SubscribeRequired = false }},
		{`"probe"`, `"answers"`, func(s *balance.Settings) { s.LoadReporting.InOutcomes = true }},
		{`"probe"`, `"none"`, func(s *balance.Settings) { s.LoadReporting.InProbeResults = false }},
	} {
		want := stored()
		tt.change(&want)
		got, err := Decode(bytes.Replace(raw, []byte(tt.old), []byte(tt.new), 1))
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got %+v, %v\nwant %+v", tt.new, got, err, want)
		}
	}
}
