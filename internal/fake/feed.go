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

// Feed is the state that all servers stream: groups of listings, whose versions only increase. Each
// group has a log of changes, numbered from 1. A Feed is safe for concurrent use.
type Feed struct {
	Listings int // number of listings in each group

	mu     sync.Mutex
	names  []string            // names of the groups
	groups map[string][]Change // log of changes by group name
	rng    *rand.Rand
}

// NewFeed returns a feed of groups g0, g1, ... with the given number of listings in each.
func NewFeed(groups, listings int, seed uint64) *Feed {
	f := &Feed{
		Listings: listings,
		groups:   map[string][]Change{},
		rng:      rand.New(rand.NewPCG(seed, 0xfeed)),
	}
	for i := range groups {
		name := "g" + strconv.Itoa(i)
		f.names = append(f.names, name)
		for listing := range listings {
			f.groups[name] = append(f.groups[name], Change{listing, 1, time.Now()})
		}
	}
	return f
}

// Step adds a new version of a random listing of a random group.
func (f *Feed) Step() {
	f.mu.Lock()
	defer f.mu.Unlock()
	group := f.names[f.rng.IntN(len(f.names))]
	log := f.groups[group]
	listing := f.rng.IntN(f.Listings)
	f.groups[group] = append(log, Change{listing, uint64(len(log)) + 1, time.Now()})
}

// Head returns the number of changes that a group had at a time.
func (f *Feed) Head(group string, at time.Time) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	log := f.groups[group]
	n := len(log)
	for n > 0 && log[n-1].At.After(at) {
		n--
	}
	return uint64(n)
}

// Changes returns the changes of a group whose numbers are greater than from and at most to.
func (f *Feed) Changes(group string, from, to uint64) []Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	log := f.groups[group]
	if to = min(to, uint64(len(log))); from >= to {
		return nil
	}
	return log[from:to:to] // entries never change once written
}

// State returns the version of each listing of a group after its first head changes.
func (f *Feed) State(group string, head uint64) []uint64 {
	state := make([]uint64, f.Listings)
	for _, c := range f.Changes(group, 0, head) {
		state[c.Listing] = c.Version
	}
	return state
}
