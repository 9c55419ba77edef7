package route

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"coralrelay/internal/fleet/account"
)

// entries draws routes that may tie, so that more than a checked record holds is tried.
func entries(t *rapid.T, label string) (w Update) {
	word := rapid.SampledFrom([]string{"", "a", "b"})
	mark := rapid.SampledFrom([]*bool{nil, new(bool), func() *bool { b := true; return &b }()})
	for i, n := 0, rapid.IntRange(0, 30).Draw(t, label); i < n; i++ {
		e := Entry{Name: fmt.Sprintf("r%02d", i), Owner: "acme", Contract: rapid.SampledFrom([]string{"", "c1", "c2"}).Draw(t, "contract")}
		e.Match = account.Match{Class: word.Draw(t, "class"), Tenant: word.Draw(t, "tenant"), Group: word.Draw(t, "group"),
			Returning: mark.Draw(t, "returned"), Retry: mark.Draw(t, "retry")}
		if e.Match.Group == "" && rapid.Bool().Draw(t, "ranged") {
			from := rapid.IntRange(0, 7).Draw(t, "from")
			e.Match.HashFrom, e.Match.HashTo = float64(from)/8, float64(rapid.IntRange(from+1, 8).Draw(t, "to"))/8
		}
		w.Set = append(w.Set, e)
	}
	for _, c := range []string{"c1", "c2"} {
		if rapid.Bool().Draw(t, "steered") {
			w.Allocations = append(w.Allocations, Allocation{Contract: c, Shares: map[string]float64{rapid.SampledFrom([]string{"x", "y"}).Draw(t, "zone"): 1}})
		}
	}
	w.Complete = true
	return w
}

func takes(m account.Match, q Query) bool {
	place := float64(q.GroupHash) / (1 << 64)
	return (m.Class == "" || m.Class == q.Class) && (m.Tenant == "" || m.Tenant == q.Tenant) && (m.Group == "" || m.Group == q.Group) &&
		(m.Returning == nil || *m.Returning == q.Returning) && (m.Retry == nil || *m.Retry == q.Retry) &&
		(m.HashTo == 0 || q.Group != "" && m.HashFrom <= place && (place < m.HashTo || m.HashTo == 1))
}

// A table finds what reading all routes one by one finds, whether it came whole or by
// changes.
func TestFindsTheMostSpecific(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := entries(t, "before"), entries(t, "after")
		before.Index, after.Index = 4, 9
		table, err := Compile(before)
		if err != nil {
			t.Fatal(err)
		}
		changed, err := table.Apply(Diff(before, after))
		if err != nil {
			t.Fatal(err)
		}
		whole, err := Compile(after)
		if err != nil {
			t.Fatal(err)
		}
		word := rapid.SampledFrom([]string{"", "a", "b", "c"})
		for range 50 {
			q := Query{Class: word.Draw(t, "class"), Tenant: word.Draw(t, "tenant"), Group: word.Draw(t, "group"),
				GroupHash: uint64(rapid.IntRange(0, 15).Draw(t, "place")) << 60, Returning: rapid.Bool().Draw(t, "returned"), Retry: rapid.Bool().Draw(t, "retry")}
			var want *Entry
			for i := range after.Set {
				if e := &after.Set[i]; takes(e.Match, q) && (want == nil || e.Match.Specificity() > want.Match.Specificity()) {
					want = e
				}
			}
			for _, table := range []*Table{changed, whole} {
				got := table.Find(q)
				if (got == nil) != (want == nil) || got != nil && got.Path != want.Path() {
					t.Fatalf("%+v: found %+v, want %+v", q, got, want)
				}
				if got != nil && fmt.Sprint(got.Bound) != fmt.Sprint(whole.Find(q).Bound) {
					t.Fatalf("%+v: bound to %+v, want %+v", q, got.Bound, whole.Find(q).Bound)
				}
			}
		}
	})
}

func TestBadWires(t *testing.T) {
	good, err := Compile(Update{Index: 3, Complete: true})
	if err != nil {
		t.Fatal(err)
	}
	for want, w := range map[string]Update{
		"nothing to change":  {Index: 4, BaseIndex: 3},
		"changes from 2":     {Index: 4, BaseIndex: 2},
		"changes from 3 to":  {Index: 2, BaseIndex: 3},
		"no name":            {Index: 4, BaseIndex: 3, Set: []Entry{{Owner: "acme"}}},
		`"acme:r": range 1 `: {Complete: true, Set: []Entry{{Owner: "acme", Name: "r", Match: account.Match{HashFrom: 1, HashTo: 0.5}}}},
	} {
		_, err := good.Apply(w)
		if want == "nothing to change" {
			_, err = Compile(w)
		}
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%+v: %v, want %q in it", w, err, want)
		}
	}
}

func TestLevelsOfARoute(t *testing.T) {
	table, err := Compile(Update{Complete: true, Set: []Entry{{Owner: "acme/web/eu", Name: "all"}}})
	if err != nil {
		t.Fatal(err)
	}
	r := table.Find(Query{})
	if r.Account != "acme" || fmt.Sprint(r.Levels) != "[acme acme/web acme/web/eu acme/web/eu:all]" || r.Bound != nil {
		t.Errorf("%+v", r)
	}
}

var found *Route

// Ranges of matches are in the record, and nodes of other versions find the same routes by
// them. The places were printed by the code of commit 011f0a6.
func TestGroupsKeepTheirPlaces(t *testing.T) {
	for group, want := range map[string]uint64{"": 0xecba3df2c3383c52, "a": 0xed8170de1919a24d,
		"room-17": 0xe25596f4b16e46ef, "grüße": 0x897f0658eac118b5} {
		if got := Hash(group); got != want {
			t.Errorf("%q is at %#x, want %#x", group, got, want)
		}
	}
}

func BenchmarkFind(bm *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		w := Update{Complete: true}
		var asked []Query
		for i := range n {
			e := Entry{Name: fmt.Sprint("r", i), Owner: fmt.Sprint("acme/team", i%100)}
			e.Match.Tenant = fmt.Sprintf("tenant%d.example", i/5)
			q := Query{Class: "feed", Tenant: e.Match.Tenant, Group: fmt.Sprint("group", i)}
			switch i % 5 { // of five routes of a tenant, each is of another rank
			case 0:
				e.Match.Class = "feed"
				e.Match.Group = q.Group
			case 1:
				e.Match.Class = "feed"
				e.Match.HashFrom, e.Match.HashTo = 0, 1
			case 2:
				e.Match.Group = q.Group
			case 3:
				yes := true
				e.Match.Retry = &yes
			}
			q.GroupHash = Hash(q.Group)
			w.Set, asked = append(w.Set, e), append(asked, q)
		}
		asked = append(asked, Query{Class: "other", Tenant: "nobody", Group: "none"})
		table, err := Compile(w)
		if err != nil {
			bm.Fatal(err)
		}
		bm.Run(fmt.Sprint(n, "routes"), func(bm *testing.B) {
			bm.ReportAllocs()
			i := 0
			for bm.Loop() {
				found = table.Find(asked[i%len(asked)])
				i++
			}
		})
	}
}
