package fake

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

// Change is one new version of one listing.
type Change struct {
	Listing int
	Version uint64
	At      time.Time
}

// Feed is the truth that all feed servers pass on: listings in groups, whose
// versions only grow. Each group is a stream, numbered from 1.
type Feed struct {
	Listings int // in each group

	mu     sync.Mutex
	groups map[string][]Change
	rng    *rand.Rand
	names  []string
}

// NewFeed returns a feed of groups g0, g1, ... with so many listings each.
func NewFeed(groups, listings int, seed uint64) *Feed {
	f := &Feed{Listings: listings, groups: map[string][]Change{}, rng: rand.New(rand.NewPCG(seed, 0xfeed))}
	for i := range groups {
		name := "g" + strconv.Itoa(i)
		f.names = append(f.names, name)
		for l := range listings {
			f.groups[name] = append(f.groups[name], Change{l, 1, time.Now()})
		}
	}
	return f
}

// Step changes one listing of one group.
func (f *Feed) Step() {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.names[f.rng.IntN(len(f.names))]
	log := f.groups[g]
	listing := f.rng.IntN(f.Listings)
	f.groups[g] = append(log, Change{listing, uint64(len(log)) + 1, time.Now()})
}

// head is how many changes of a group are known at a time.
func (f *Feed) head(group string, at time.Time) uint64 {
	log := f.groups[group]
	n := len(log)
	for n > 0 && log[n-1].At.After(at) {
		n--
	}
	return uint64(n)
}

// Head is the same under the lock.
func (f *Feed) Head(group string, at time.Time) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.head(group, at)
}

// Changes returns those after from, up to to.
func (f *Feed) Changes(group string, from, to uint64) []Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	log := f.groups[group]
	if to = min(to, uint64(len(log))); from >= to {
		return nil
	}
	return log[from:to:to] // never changed once written
}

// State is the version of each listing after so many changes.
func (f *Feed) State(group string, head uint64) []uint64 {
	state := make([]uint64, f.Listings)
	for _, c := range f.Changes(group, 0, head) {
		state[c.Listing] = c.Version
	}
	return state
}
