package settings

import (
	"bytes"
	"os"
	"reflect"
	"testing"
	"time"

	"coralrelay/balance"
)

// testdata/stored/settings.json, written by hand as nothing here writes settings, has every
// key and every value of the enumerated ones. It decodes to the same values.
func TestStoredSettings(t *testing.T) {
	raw, err := os.ReadFile("testdata/stored/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	const ms = time.Millisecond
	stored := func() balance.Settings {
		return balance.Settings{Instance: 2, Instances: 9, Tick: 4 * ms, ListAsked: true, AskWithin: 10500 * ms,
			Classes: []balance.Class{
				{Name: "feed", Aim: 110 * ms, Deadline: 1120 * ms, MessageAim: 140 * ms, Effect: balance.Safe, Scope: balance.ScopeAll, Window: 130 * ms},
				{Name: "chat", Aim: 210 * ms, Deadline: 2220 * ms, MessageAim: 240 * ms, Effect: balance.Keyed, Scope: balance.ScopeZone, Window: 230 * ms},
				{Name: "bulk", Aim: 310 * ms, Deadline: 3320 * ms, MessageAim: 340 * ms, Effect: balance.Unsafe, Scope: balance.ScopeCell, Window: 330 * ms}},
			Rules: balance.Rules{AnswerGrace: 16 * ms, DrainGrace: 300 * ms, ColdShare: 0.2, Ramp: 20500 * ms,
				FallMultiple: 3, FallAfter: 1500 * ms},
			Limits:  balance.Limits{Probes: true, RetryAfter: true, MaxAttempts: 6, MaxRetryAfter: 1250 * ms, ConnectTimeout: 250 * ms},
			Reports: balance.Reports{ByProbe: true},
			Conns:   balance.Conns{Groups: true}}
	}
	for _, tt := range []struct { // booleans one at a time, so that two that are exchanged are noticed
		old, new string
		change   func(s *balance.Settings)
	}{
		{"", "", func(*balance.Settings) {}},
		{`"groups": true`, `"groups": false`, func(s *balance.Settings) { s.Conns.Groups = false }},
		{`"probing": true`, `"probing": false`, func(s *balance.Settings) { s.Limits.Probes = false }},
		{`"retryAfter": true`, `"retryAfter": false`, func(s *balance.Settings) { s.Limits.RetryAfter = false }},
		{`"on_request"`, `"pushed"`, func(s *balance.Settings) { s.ListAsked = false }},
		{`"probe"`, `"answers"`, func(s *balance.Settings) { s.Reports.WithAnswers = true }},
		{`"probe"`, `"none"`, func(s *balance.Settings) { s.Reports.ByProbe = false }},
	} {
		want := stored()
		tt.change(&want)
		got, err := Decode(bytes.Replace(raw, []byte(tt.old), []byte(tt.new), 1))
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got %+v, %v\nwant %+v", tt.new, got, err, want)
		}
	}
}
