package gossip

import (
	"bytes"
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"coralrelay/internal/fleet/account"
)

// used is what one member used of accounts in an epoch's first half, as it travels in the
// second: the one time when others reckon with it. What it holds of a path is not changed
// any more by then.
type used struct {
	Member string          `json:"used"`
	Half   int64           `json:"half"`          // the second
	Paths  map[string]made `json:"paths"`         // those used most
	Rest   made            `json:"rest,omitzero"` // no path that is not named was used more than this
}

// made are set-ups, retries and probes.
type made [3]float64

// usedBegins is how a datagram of it begins. Older members take it for an empty report.
const usedBegins = `{"used":`

func madeOf(f account.Amounts) made { return made{f.Setups, f.Retries, f.Probes} }

func (m made) figures() account.Amounts {
	return account.Amounts{Setups: m[0], Retries: m[1], Probes: m[2]}
}

// Use is a member's word on what it uses. Where it was too long for a datagram, no path that
// it does not name was used more than Rest in the half before.
type Usage struct {
	account.Usage
	OmittedMax account.Amounts
}

// pack writes it, with as many paths as fit a datagram.
func (u used) pack() []byte {
	order := slices.SortedFunc(maps.Keys(u.Paths), func(a, b string) int {
		x, y := u.Paths[a], u.Paths[b]
		return cmp.Or(cmp.Compare(y[0]+y[1]+y[2], x[0]+x[1]+x[2]), cmp.Compare(a, b))
	})
	for all := u.Paths; ; {
		raw, err := json.Marshal(u)
		if err != nil || len(raw) <= largest || len(order) == 0 {
			return raw
		}
		order = order[:len(order)*largest/len(raw)]
		u.Paths, u.Rest = map[string]made{}, made{}
		for _, path := range order {
			u.Paths[path] = all[path]
		}
		for path, m := range all {
			if _, ok := u.Paths[path]; !ok {
				for i := range m {
					u.Rest[i] = max(u.Rest[i], m[i])
				}
			}
		}
	}
}

// Used takes what this member's node uses, and spreads what others are to know of it.
func (a *Member) PublishUsage(u account.Usage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	u.Member = a.name
	was, known := a.uses[a.name]
	a.uses[a.name] = Usage{Usage: u}
	if u.HalfEpoch%2 == 0 || known && was.HalfEpoch == u.HalfEpoch && len(a.raw[a.name]) > 0 {
		return
	}
	w := used{Member: a.name, Half: u.HalfEpoch, Paths: make(map[string]made, len(u.UsedBefore))}
	for path, f := range u.UsedBefore {
		if m := madeOf(f); m != (made{}) {
			w.Paths[path] = m
		}
	}
	if raw := w.pack(); raw != nil {
		a.raw[a.name] = raw
		a.spread("used/"+a.name, raw)
	}
}

// hearUsed takes another member's word, under the lock, and tells whether it was news.
func (a *Member) hearUsed(raw []byte) (name string, news bool, err error) {
	var w used
	if err := json.Unmarshal(raw, &w); err != nil {
		return "", false, err
	}
	u := Usage{Usage: account.Usage{Member: w.Member, ReportedAt: a.clock(), HalfEpoch: w.Half, UsedBefore: make(map[string]account.Amounts, len(w.Paths))}, OmittedMax: w.Rest.figures()}
	for path, m := range w.Paths {
		u.UsedBefore[path] = m.figures()
	}
	rest := account.Usage{Member: w.Member, UsedBefore: map[string]account.Amounts{"": u.OmittedMax}}
	_, there := a.state.Members()[w.Member]
	if old, ok := a.uses[w.Member]; !there || w.Member == a.name || ok && old.HalfEpoch >= u.HalfEpoch || !u.IsValid() || !rest.IsValid() {
		return "", false, nil
	}
	a.uses[w.Member], a.raw[w.Member] = u, slices.Clone(raw)
	return "used/" + w.Member, true, nil
}

func isUsed(raw []byte) bool { return bytes.HasPrefix(raw, []byte(usedBegins)) }

// Uses returns each member's last word on what it uses, by name.
func (a *Member) Usages() (all []Usage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(a.uses)) {
		all = append(all, a.uses[name])
	}
	return all
}

// Holders are the members among whom limits are dealt, by name.
func (a *Member) LeaseHolders() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forget(a.clock())
	return slices.Sorted(maps.Keys(a.state.Members()))
}
