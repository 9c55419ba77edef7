package route

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/agentapi/routeupdate"
)

// drawUpdate draws a complete update with routes that may overlap. That covers more cases than a validated
// log contains.
func drawUpdate(t *rapid.T, label string) routeupdate.Update {
	update := routeupdate.Update{Complete: true}
	for i, count := 0, rapid.IntRange(0, 30).Draw(t, label); i < count; i++ {
		update.Set = append(update.Set, drawEntry(t, fmt.Sprintf("r%02d", i)))
	}
	for _, contract := range []string{"c1", "c2"} {
		if rapid.Bool().Draw(t, "allocated") {
			zone := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "zone")
			update.Allocations = append(update.Allocations,
				routeupdate.Allocation{Contract: contract, Shares: map[string]float64{zone: 1}})
		}
	}
	return update
}

func drawEntry(t *rapid.T, name string) routeupdate.Entry {
	names := rapid.SampledFrom([]string{"", "a", "b"})
	yes, no := true, false
	flags := rapid.SampledFrom([]*bool{nil, &no, &yes})
	entry := routeupdate.Entry{
		Name:     name,
		Owner:    "acme",
		Contract: rapid.SampledFrom([]string{"", "c1", "c2"}).Draw(t, "contract"),
	}
	entry.Match = account.Match{
		Class:     names.Draw(t, "class"),
		Tenant:    names.Draw(t, "tenant"),
		Group:     names.Draw(t, "group"),
		Returning: flags.Draw(t, "returning"),
		Retry:     flags.Draw(t, "retry"),
	}
	if entry.Match.Group == "" && rapid.Bool().Draw(t, "has range") {
		from := rapid.IntRange(0, 7).Draw(t, "from")
		to := rapid.IntRange(from+1, 8).Draw(t, "to")
		entry.Match.HashFrom, entry.Match.HashTo = float64(from)/8, float64(to)/8
	}
	return entry
}

func drawQuery(t *rapid.T) Query {
	names := rapid.SampledFrom([]string{"", "a", "b", "c"})
	return Query{
		Class:     names.Draw(t, "class"),
		Tenant:    names.Draw(t, "tenant"),
		Group:     names.Draw(t, "group"),
		GroupHash: uint64(rapid.IntRange(0, 15).Draw(t, "hash")) << 60,
		Returning: rapid.Bool().Draw(t, "returning"),
		Retry:     rapid.Bool().Draw(t, "retry"),
	}
}

func matches(m account.Match, q Query) bool {
	hash := float64(q.GroupHash) / (1 << 64)
	return (m.Class == "" || m.Class == q.Class) &&
		(m.Tenant == "" || m.Tenant == q.Tenant) &&
		(m.Group == "" || m.Group == q.Group) &&
		(m.Returning == nil || *m.Returning == q.Returning) &&
		(m.Retry == nil || *m.Retry == q.Retry) &&
		(m.HashTo == 0 || q.Group != "" && m.HashFrom <= hash && (hash < m.HashTo || m.HashTo == 1))
}

// mostSpecific finds the most specific matching entry by a linear search.
func mostSpecific(entries []routeupdate.Entry, query Query) (found *routeupdate.Entry) {
	for i := range entries {
		entry := &entries[i]
		if !matches(entry.Match, query) {
			continue
		}
		if found == nil || entry.Match.Specificity() > found.Match.Specificity() {
			found = entry
		}
	}
	return found
}

// A table returns the same route as a linear search over all routes, both after a complete update and after
// changes.
func TestFindsTheMostSpecific(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := drawUpdate(t, "before"), drawUpdate(t, "after")
		before.Index, after.Index = 4, 9
		table, err := Compile(before)
		if err != nil {
			t.Fatal(err)
		}
		changed, err := table.Apply(routeupdate.Diff(before, after))
		if err != nil {
			t.Fatal(err)
		}
		compiled, err := Compile(after)
		if err != nil {
			t.Fatal(err)
		}
		for range 50 {
			query := drawQuery(t)
			want := mostSpecific(after.Set, query)
			for _, table := range []*Table{changed, compiled} {
				got := table.Find(query)
				if (got == nil) != (want == nil) || got != nil && got.Path != want.Path() {
					t.Fatalf("%+v: found %+v, want %+v", query, got, want)
				}
				if got != nil && fmt.Sprint(got.Constraint) != fmt.Sprint(compiled.Find(query).Constraint) {
					t.Fatalf("%+v: zones %+v, want %+v", query, got.Constraint, compiled.Find(query).Constraint)
				}
			}
		}
	})
}

func TestRejectsInvalidUpdates(t *testing.T) {
	good, err := Compile(routeupdate.Update{Index: 3, Complete: true})
	if err != nil {
		t.Fatal(err)
	}
	nameless := routeupdate.Entry{Owner: "acme"}
	emptyRange := routeupdate.Entry{Owner: "acme", Name: "r", Match: account.Match{HashFrom: 1, HashTo: 0.5}}
	for want, update := range map[string]routeupdate.Update{
		"without a table":    {Index: 4, BaseIndex: 3},
		"changes from 2":     {Index: 4, BaseIndex: 2},
		"changes from 3 to":  {Index: 2, BaseIndex: 3},
		"no name":            {Index: 4, BaseIndex: 3, Set: []routeupdate.Entry{nameless}},
		`"acme:r": range 1 `: {Complete: true, Set: []routeupdate.Entry{emptyRange}},
	} {
		_, err := good.Apply(update)
		if want == "without a table" {
			_, err = Compile(update)
		}
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%+v: error %v, want one with %q", update, err, want)
		}
	}
}

func TestRouteCountsOnEveryLevelAboveIt(t *testing.T) {
	entry := routeupdate.Entry{Owner: "acme/web/eu", Name: "all"}
	table, err := Compile(routeupdate.Update{Complete: true, Set: []routeupdate.Entry{entry}})
	if err != nil {
		t.Fatal(err)
	}
	const wantLevels = "[acme acme/web acme/web/eu acme/web/eu:all]"
	found := table.Find(Query{})
	if found.Account != "acme" || fmt.Sprint(found.Levels) != wantLevels || found.Constraint != nil {
		t.Errorf("%+v", found)
	}
}

// The ranges of matches are stored in the replicated log, and nodes of all versions must find the same
// routes with them. The expected hashes were printed by the code of commit 011f0a6.
func TestGroupHashesStayTheSameAcrossVersions(t *testing.T) {
	for group, want := range map[string]uint64{"": 0xecba3df2c3383c52, "a": 0xed8170de1919a24d,
		"room-17": 0xe25596f4b16e46ef, "grüße": 0x897f0658eac118b5} {
		if got := Hash(group); got != want {
			t.Errorf("Hash(%q) = %#x, want %#x", group, got, want)
		}
	}
}

// benchmarkResult keeps the compiler from removing the measured call.
var benchmarkResult *Route

func BenchmarkFind(b *testing.B) {
	for _, count := range []int{10, 100, 1000, 10000} {
		update := routeupdate.Update{Complete: true}
		var queries []Query
		for i := range count {
			entry, query := benchmarkRoute(i)
			update.Set, queries = append(update.Set, entry), append(queries, query)
		}
		queries = append(queries, Query{Class: "other", Tenant: "nobody", Group: "none"})
		table, err := Compile(update)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint(count, "routes"), func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				benchmarkResult = table.Find(queries[i%len(queries)])
				i++
			}
		})
	}
}

// benchmarkRoute returns a route and a query that matches it. The five routes of a tenant differ in their
// specificity.
func benchmarkRoute(i int) (routeupdate.Entry, Query) {
	entry := routeupdate.Entry{Name: fmt.Sprint("r", i), Owner: fmt.Sprint("acme/team", i%100)}
	entry.Match.Tenant = fmt.Sprintf("tenant%d.example", i/5)
	query := Query{Class: "feed", Tenant: entry.Match.Tenant, Group: fmt.Sprint("group", i)}
	query.GroupHash = Hash(query.Group)
	switch i % 5 {
	case 0:
		entry.Match.Class = "feed"
		entry.Match.Group = query.Group
	case 1:
		entry.Match.Class = "feed"
		entry.Match.HashFrom, entry.Match.HashTo = 0, 1
	case 2:
		entry.Match.Group = query.Group
	case 3:
		isRetry := true
		entry.Match.Retry = &isRetry
	}
	return entry, query
}
