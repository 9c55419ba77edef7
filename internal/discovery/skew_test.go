package discovery

import (
	"testing"
	"time"

	"coralrelay/balance"
)

// A local clock that is an hour off in either direction, or was so when the process started, is
// corrected by the Date of the header and by the starts of endpoints. A correct clock is kept,
// however late starts are reported.
func TestClockSkew(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	date := func(ahead time.Duration) func(*clockSkew) {
		return func(s *clockSkew) { s.observeDate(now, now.Add(-ahead)) }
	}
	start := func(age time.Duration, isNew bool) func(*clockSkew) {
		return func(s *clockSkew) { s.observeStart(now, now.Add(-age), isNew) }
	}
	tests := []struct {
		name    string
		observe []func(*clockSkew)
		want    time.Duration
	}{
		{"nothing", nil, 0},
		{"date of this second", []func(*clockSkew){date(time.Second)}, 0},
		{"date an hour back", []func(*clockSkew){date(time.Hour)}, time.Hour},
		{"date an hour ahead, and no start confirms it", []func(*clockSkew){date(-time.Hour), start(time.Minute, true)}, 0},
		{"date an hour ahead, and a start", []func(*clockSkew){date(-time.Hour), start(-time.Hour+7*time.Second, false)}, -time.Hour},
		{"a start, then a date an hour ahead", []func(*clockSkew){start(-time.Hour+7*time.Second, false), date(-time.Hour)}, -time.Hour + 7*time.Second},
		{"date an hour back, and a start after it", []func(*clockSkew){date(time.Hour), start(time.Minute, false)}, 0},
		{"date an hour back, and a start before it", []func(*clockSkew){date(time.Hour), start(time.Hour+7*time.Second, true)}, time.Hour},
		{"date ten hours ahead, and a start an hour ahead", []func(*clockSkew){date(-10 * time.Hour), start(-time.Hour, false)}, -time.Hour},
		{"dates that differ a little", []func(*clockSkew){date(time.Hour), date(time.Hour + time.Second)}, time.Hour},
		{"clock stepped back since", []func(*clockSkew){date(time.Hour), date(0)}, 0},
		{"start in the future", []func(*clockSkew){start(-time.Hour, false)}, -time.Hour},
		{"starts in the future, the latest counts", []func(*clockSkew){start(-time.Hour, false), start(-2*time.Hour, false),
			start(-time.Minute, false)}, -2 * time.Hour},
		{"old starts of a complete list", []func(*clockSkew){start(time.Hour, false), start(time.Hour, false),
			start(time.Hour, false), start(time.Hour, false)}, 0},
		{"starts as they happen", []func(*clockSkew){start(time.Second, true), start(8*time.Second, true)}, 0},
		{"two late starts", []func(*clockSkew){start(time.Hour, true), start(time.Hour, true)}, 0},
		{"late starts with a usual one between", []func(*clockSkew){start(time.Hour, true), start(time.Hour, true),
			start(time.Second, true), start(time.Hour, true)}, 0},
		{"late starts only", []func(*clockSkew){start(time.Hour+5*time.Second, true), start(time.Hour, true),
			start(time.Hour+time.Second, true)}, time.Hour},
	}
	for _, tt := range tests {
		var skew clockSkew
		for _, observe := range tt.observe {
			observe(&skew)
		}
		if skew.ahead != tt.want {
			t.Errorf("%s: %v ahead, want %v", tt.name, skew.ahead, tt.want)
		}
	}
}

// Start times are kept for exactly as long as their endpoint is listed.
func TestStartsOfUnlistedEndpointsAreForgotten(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	started := func(id string) Endpoint {
		return Endpoint{ServerEntry: balance.ServerEntry{ID: id, StartedAt: time.Duration(now.UnixNano()) - time.Second}}
	}
	gone := started("s2")
	gone.State = balance.Gone
	converter := startTimeConverter{known: map[string]time.Duration{}}
	for _, step := range []struct {
		update Update
		want   int
	}{
		{Update{Kind: balance.ListCached, Endpoints: []Endpoint{started("s1"), started("s2")}}, 2},
		{Update{Kind: balance.ListDelta, Endpoints: []Endpoint{started("s3")}}, 3},
		{Update{Kind: balance.ListDelta, Endpoints: []Endpoint{gone}}, 2},
		{Update{Kind: balance.ListFull, Endpoints: []Endpoint{started("s3")}}, 1},
	} {
		converter.convert(now, &step.update, true)
		if len(converter.known) != step.want {
			t.Errorf("%d starts are known after %+v, want %d", len(converter.known), step.update, step.want)
		}
	}
}
