package account

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const epochsIn = 1_000_000 * time.Second // an epoch's begin

var dealing = DealConfig{Epoch: time.Second, Hold: 30 * time.Second}

// lent is an account whose two teams may each use all of it.
func lent(rate float64) State {
	l := Limits{Open: 20, Rate: rate, Retries: rate, Probes: -1, Routes: 9, Teams: 9}
	s, err := New(public(0)).Apply(Change{Ops: []Op{{Do: Found, Path: "acme", Node: &Node{Limits: l, Overcommit: 2}},
		{Do: Team, Path: "acme/web", Node: &Node{Limits: Limits{20, rate, rate / 2, -1, 9, 0}}},
		{Do: Team, Path: "acme/shop", Node: &Node{Limits: Limits{10, rate * 0.7, 0, 5, 9, 0}}}, route("acme/web", "r", Match{})}}, key(0))
	if err != nil {
		panic(err)
	}
	return s
}

func names(n int) (all []string) {
	for i := range n {
		all = append(all, fmt.Sprint("m", i))
	}
	return all
}

// member spends what it may, as a node does: every level needs room.
type member struct {
	Use
	rights Rights
	heard  map[string]Use
}

func (m *member) spend(paths []string, wanted int) (n int) {
	for range wanted {
		for _, p := range paths {
			if m.Used[p].Rate+1 > m.rights.Paths[p].Rate {
				return n
			}
		}
		for _, p := range paths {
			f := m.Used[p]
			f.Rate++
			m.Used[p] = f
		}
		n++
	}
	return n
}

// Whatever words are lost, late or heard twice, all members together use no more of any
// limit within an epoch than the limit for an epoch, and one. Cut apart for longer than the
// hold, the side that counts more than half deals the whole, and each on another side has
// its even part and one token a half epoch more at most.
func TestTogetherWithinTheLimit(t *testing.T) {
	lines := [][]string{{"acme", "acme/web", "acme/web:r"}, {"acme", "acme/web"}, {"acme", "acme/shop"}}
	rapid.Check(t, func(t *rapid.T) {
		n, rate := rapid.IntRange(1, 9).Draw(t, "members"), rapid.Float64Range(0, 40).Draw(t, "rate")
		s, cfg, all := lent(rate), dealing, names(n)
		side, away := make([]int, n), 0
		if cfg.Full = n; rapid.Bool().Draw(t, "cut apart") {
			sizes := [3]int{}
			for i := range side {
				side[i] = rapid.IntRange(0, 2).Draw(t, "side")
				sizes[side[i]]++
			}
			if away = n - max(sizes[0], sizes[1], sizes[2]); 2*(n-away) <= n {
				away = n
			}
		}
		members := make([]member, n)
		for i := range members {
			members[i].heard = map[string]Use{}
		}
		for half := range 2 * rapid.IntRange(1, 5).Draw(t, "epochs") {
			now := epochsIn + time.Duration(half)*cfg.Epoch/2
			for i := range members { // words of a half's end, before anyone's first tokens of the next
				m := &members[i]
				m.Use = Use{Member: all[i], At: now, Half: cfg.half(now), Prior: m.Used, Used: map[string]Figures{},
					Wanted: map[string]Figures{"acme/web": {Rate: float64(rapid.IntRange(0, 20).Draw(t, "wanted"))}}}
				for j := range members {
					if j == i || side[i] == side[j] && rapid.IntRange(0, 2).Draw(t, "heard") > 0 {
						members[j].heard[all[i]] = m.Use
					}
				}
			}
			for i := range members {
				var holders []string
				for j, name := range all {
					if side[i] == side[j] {
						holders = append(holders, name)
					}
				}
				var uses []Use
				for _, u := range members[i].heard {
					uses = append(uses, u, u)
				}
				members[i].rights = Deal(now, cfg, s, uses, holders, all[i])
				for _, line := range lines {
					members[i].spend(line, rapid.IntRange(0, 30).Draw(t, "spent"))
				}
			}
			if half%2 == 0 {
				continue
			}
			for _, path := range []string{"acme", "acme/web", "acme/shop"} {
				sum, l := 0.0, s.Nodes[path].Limits.Rate
				for _, m := range members {
					sum += m.Used[path].Rate + m.Prior[path].Rate
				}
				most := math.Floor(l) + 1
				if away > 0 {
					most = l*float64(n-away)/float64(n) + l*float64(away)/float64(n) + 2*float64(away)
					if away < n {
						most = math.Floor(l) + 1 + l*float64(away)/float64(n) + 2*float64(away)
					}
				}
				if sum > most {
					t.Fatalf("%s: %v within an epoch, %v at most (limit %v, %d of %d away)", path, sum, most, l, away, n)
				}
			}
		}
	})
}

// An unused part is lent to a sibling within the member, and is back with the next half.
func TestLentAndCalledBack(t *testing.T) {
	for _, tt := range []struct {
		web, shop float64 // wanted
		ignore    bool
		has, had  float64 // of web, of shop
	}{
		{100, 0, false, 20, 0}, {100, 3, false, 17, 3}, {100, 100, false, 10, 10}, {4, 100, false, 6, 14}, {2, 3, false, 17, 14},
		{100, 100, true, 20, 0},
	} {
		s := lent(40) // 20 a member in a half epoch's deal of 40 over 2
		s.Ignore.CallBack = tt.ignore
		u := Use{Member: "m0", At: epochsIn, Half: dealing.half(epochsIn), Wanted: map[string]Figures{"acme/web": {Rate: tt.web}, "acme/shop": {Rate: tt.shop}},
			Used: map[string]Figures{"acme/web": {Rate: 20}}}
		r := Deal(epochsIn, dealing, s, []Use{u}, names(2), "m0")
		if web, shop := r.Paths["acme/web"].Rate, r.Paths["acme/shop"].Rate; web != tt.has || shop != tt.had {
			t.Errorf("%+v: web %v, shop %v", tt, web, shop)
		}
		if r.Paths["acme/web"].Probes != -1 || r.Paths["acme"].Open != 10 {
			t.Errorf("%+v", r.Paths)
		}
	}
}

// In an epoch's second half what is known to be left is dealt again. A false word adds no
// more than its own part, and takes nothing from others.
func TestUnspentAndFalseWords(t *testing.T) {
	s, now := lent(40), epochsIn+dealing.Epoch/2
	word := func(name string, spent float64) Use {
		return Use{Member: name, At: now, Half: dealing.half(now), Prior: map[string]Figures{"acme": {Rate: spent}}}
	}
	for _, tt := range []struct {
		name string
		uses []Use
		want float64 // of m0, who has spent 5 of 10; all others 10 of 10
	}{
		{"all told", []Use{word("m0", 5), word("m1", 10), word("m2", 10), word("m3", 10)}, 2},
		{"one unheard", []Use{word("m0", 5), word("m1", 10), word("m2", 10)}, 2},
		{"one says it spent nothing", []Use{word("m0", 5), word("m1", 10), word("m2", 10), word("m3", 0)}, 4},
		{"one says it spent all there is", []Use{word("m0", 5), word("m1", 10), word("m2", 10), word("m3", 1e6)}, 2},
		{"one says what can't be", []Use{word("m0", 5), word("m1", 10), word("m2", 10), word("m3", -1e6)}, 2},
		{"nobody heard", nil, 0},
	} {
		if got := Deal(now, dealing, s, tt.uses, names(4), "m0").Paths["acme"].Rate; math.Abs(got-tt.want) > 1 || tt.want == 0 && got != 0 {
			t.Errorf("%s: %v more, want %v", tt.name, got, tt.want)
		}
	}
}

// The even parts of all are the limit, over any time, to the token.
func TestEvenParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, s := rapid.IntRange(1, 30).Draw(t, "members"), lent(rapid.Float64Range(0, 40).Draw(t, "rate"))
		sum, halves := 0.0, rapid.IntRange(1, 40).Draw(t, "halves")
		for i := range n {
			for h := range halves {
				sum += Alone(epochsIn+time.Duration(h)*dealing.Epoch/2, dealing, s, Use{}, Rights{Place: i, Of: n}).Paths["acme"].Rate
			}
		}
		if want := s.Nodes["acme"].Limits.Rate * float64(halves) / 2; math.Abs(sum-want) > 1.01 {
			t.Fatalf("%v, want %v", sum, want)
		}
	})
}
