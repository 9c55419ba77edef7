package gossip

import (
	"cmp"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"strconv"

	"coralrelay/balance"
	"coralrelay/internal/fleet/quota"
	"coralrelay/internal/fleet/zonestatus"
)

const (
	// largest is what one report may take of a datagram that others share.
	largest = 1100
	// mostZones and longestZone bound what a report says of zones, so that it fits in any case.
	mostZones, longestZone = 12, 24
	// failing is what one failure counts for a moment after it, as all that is of late fades.
	failing = 0.5
	// asked is what has faded so far that it is not told any more.
	asked = 0.1
)

// word is one member's report as it travels: what it has spent, and what its node saw. A
// report without zone and sights is an older version's.
type word struct {
	quota.Report
	Zone   string  `json:"zone,omitempty"`
	Index  uint64  `json:"index,omitempty"` // of the record that the member serves
	Sights []sight `json:"sights,omitempty"`
}

// sight is a zone.Sight that is written as [to, servers, bad, tried, asked, failed, load, cold],
// figures with three digits.
type sight zonestatus.Observation

// MarshalJSON writes it.
func (s sight) MarshalJSON() ([]byte, error) {
	to, err := json.Marshal(s.Zone)
	if err != nil {
		return nil, err
	}
	digits := func(x float64) string { return strconv.FormatFloat(x, 'g', 3, 64) }
	return fmt.Appendf(nil, "[%s,%d,%d,%d,%s,%s,%s,%d]", to, s.Endpoints, s.Failing, s.Attempted, digits(s.Attempts), digits(s.FailedAttempts), digits(s.Load), s.WarmingUp), nil
}

// UnmarshalJSON reads it.
func (s *sight) UnmarshalJSON(raw []byte) error {
	fields := []any{&s.Zone, &s.Endpoints, &s.Failing, &s.Attempted, &s.Attempts, &s.FailedAttempts, &s.Load, &s.WarmingUp}
	n := len(fields)
	if err := json.Unmarshal(raw, &fields); err != nil {
		return err
	}
	if len(fields) != n {
		return fmt.Errorf("a sight of %d fields, want %d", len(fields), n)
	}
	return nil
}

func read(raw []byte) (w word, err error) {
	err = json.Unmarshal(raw, &w)
	return w, err
}

// sound tells whether what it says of zones can be true: it comes from outside.
func (w *word) sound() bool {
	count := func(n int) bool { return n >= 0 && n <= 1e6 }
	good := func(x float64) bool { return x >= 0 && x <= 1e9 }
	return len(w.Zone) <= longestZone && len(w.Sights) <= mostZones && !slices.ContainsFunc(w.Sights, func(s sight) bool {
		return s.Zone == "" || len(s.Zone) > longestZone || !count(s.Endpoints) || !count(s.Failing) || !count(s.Attempted) || !count(s.WarmingUp) ||
			max(s.Failing, s.Attempted) > s.Endpoints ||
			!good(s.Attempts) || !good(s.FailedAttempts) || s.FailedAttempts > s.Attempts || s.Load != -1 && !good(s.Load)
	})
}

// sights adds up by zones what a node saw of its next hops: of more zones than a report
// takes, of those asked most. A next hop is bad where half of what it was asked has failed,
// by this node's own doing: a verdict of others is no evidence from here.
func sights(servers []balance.ServerUsage) []sight {
	in := map[string]*sight{}
	loads := map[string]int{}
	for _, x := range servers {
		if x.Zone == "" || len(x.Zone) > longestZone {
			continue
		}
		s := in[x.Zone]
		if s == nil {
			s = &sight{Zone: x.Zone, Load: -1}
			in[x.Zone] = s
		}
		s.Endpoints++
		x.RecentAttempts = max(x.RecentAttempts, x.RecentFailures) // what ends late fades late
		s.Attempts += x.RecentAttempts
		s.FailedAttempts += x.RecentFailures
		if x.RecentAttempts >= asked {
			s.Attempted++
		}
		if x.RecentFailures >= failing && 2*x.RecentFailures >= x.RecentAttempts {
			s.Failing++
		}
		if x.WarmingUp {
			s.WarmingUp++
		}
		if x.Load >= 0 { // the mean, one by one
			loads[x.Zone]++
			s.Load = max(s.Load, 0) + (x.Load-max(s.Load, 0))/float64(loads[x.Zone])
		}
	}
	all := make([]sight, 0, len(in))
	for _, s := range in {
		all = append(all, *s)
	}
	slices.SortFunc(all, func(a, b sight) int { return cmp.Or(cmp.Compare(b.Attempts, a.Attempts), cmp.Compare(a.Zone, b.Zone)) })
	all = all[:min(len(all), mostZones)]
	slices.SortFunc(all, func(a, b sight) int { return cmp.Compare(a.Zone, b.Zone) })
	return all
}

// rank says how late a use is dropped: what was spent of tokens last, as silence would be
// taken for nothing spent; before it what fails, and before that what was asked most.
func rank(u quota.Usage) float64 {
	switch {
	case u.WarmingUp || u.Spent+u.PriorSpent > 0:
		return 2e9
	case u.FailedAttempts > 0:
		return 1e9 + u.FailedAttempts
	}
	return u.Attempts
}

// pack writes a report, with as many uses as fit a datagram. What it says of zones fits
// beside them unless their names are escaped at length: then the last by name are dropped.
func (w word) pack() []byte {
	w.Usages = slices.Clone(w.Usages)
	slices.SortStableFunc(w.Usages, func(x, y quota.Usage) int { return cmp.Compare(rank(y), rank(x)) })
	for {
		raw, err := json.Marshal(w)
		if err != nil { // no number that JSON can't write passes the module
			slog.Error("fleet: report", "err", err)
			return nil
		}
		switch {
		case len(raw) <= largest || len(w.Usages)+len(w.Sights) == 0:
			return raw
		case len(w.Usages) > 0:
			w.Usages = w.Usages[:len(w.Usages)*largest/len(raw)]
		default:
			w.Sights = w.Sights[:len(w.Sights)-1]
		}
	}
}
