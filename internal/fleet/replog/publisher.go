package replog

import (
	"sync"
	"sync/atomic"
	"time"

	"coralrelay/internal/fleet/logentry"
)

// Bounds on the entries that are kept to be served; who is further behind gets a whole state.
const (
	maxKeptEntries = 4096
	maxKeptBytes   = 16 << 20
)

// View is what a member knows at one time.
type View struct {
	State         *logentry.State
	ConfirmedAt   time.Time // when a leader's word was last known to hold; by the monotonic clock
	WithinLease   bool      // that was within the lease
	Role          string    // leader, voter, follower; waiting or memory for a voter without a vote
	Leader        string    // its name, as far as known
	DiskError     string    // what is wrong with the disk; empty for nothing
	Path          []string  // by which the word came: from the leader to the upstream
	FollowerCount int       // followers that ask this member
}

// line is one committed entry.
type committedEntry struct {
	index uint64
	hash  logentry.Hash // of the chain after it
	raw   []byte
}

// hub holds the view and wakes who waits for its next change.
type publisher struct {
	view            atomic.Pointer[View]
	mu              sync.Mutex
	entries         []committedEntry // consecutive, the last is the view's
	entryBytes      int
	viewChanged     chan struct{} // closed when the view changes in more than its age
	anythingChanged chan struct{} // closed when it changes at all
}

func newPublisher(initial *logentry.State) *publisher {
	p := &publisher{viewChanged: make(chan struct{}), anythingChanged: make(chan struct{})}
	p.view.Store(&View{State: initial, Role: "follower"})
	return p
}

// edit publishes a changed copy of the view. The lock is held.
func (p *publisher) publish(edit func(*View), notify bool) {
	view := *p.view.Load()
	edit(&view)
	p.view.Store(&view)
	close(p.anythingChanged)
	p.anythingChanged = make(chan struct{})
	if notify {
		close(p.viewChanged)
		p.viewChanged = make(chan struct{})
	}
}

// change edits what is said beside the state.
func (p *publisher) updateView(edit func(*View)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.publish(edit, true)
}

// put publishes the state after an entry, unless a later one is known.
func (p *publisher) publishState(next *logentry.State, raw []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.view.Load().State.Index
	if next.Index <= current {
		return
	}
	if next.Index != current+1 {
		p.entries, p.entryBytes = nil, 0
	}
	if raw != nil {
		p.entries, p.entryBytes = append(p.entries, committedEntry{next.Index, next.Hash, raw}), p.entryBytes+len(raw)
	} else {
		p.entries, p.entryBytes = nil, 0
	}
	dropped := 0
	for ; len(p.entries)-dropped > maxKeptEntries || p.entryBytes > maxKeptBytes; dropped++ {
		p.entryBytes -= len(p.entries[dropped].raw)
	}
	p.entries = p.entries[dropped:]
	p.publish(func(v *View) { v.State = next }, true)
}

// heard notes that a leader's word held at a time, and the way that it came.
func (p *publisher) confirmLeader(at time.Time, leader string, path []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.view.Load()
	p.publish(func(v *View) {
		if at.After(v.ConfirmedAt) {
			v.ConfirmedAt = at
		}
		v.Path = path
		if leader != "" {
			v.Leader = leader
		}
	}, leader != "" && leader != old.Leader)
}

// since returns the entries after an index; not ok if some are not kept any more.
func (p *publisher) entriesAfter(index uint64) (entries []committedEntry, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.view.Load().State.Index
	if index >= current {
		return nil, true
	}
	if missing := current - index; missing <= uint64(len(p.entries)) {
		return p.entries[uint64(len(p.entries))-missing:], true
	}
	return nil, false
}

// hash returns the chain's hash after an index, if it is still known.
func (p *publisher) hashAt(index uint64) (logentry.Hash, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.view.Load().State; s.Index == index {
		return s.Hash, true
	}
	if kept := len(p.entries); kept > 0 && index >= p.entries[0].index && index <= p.entries[kept-1].index {
		return p.entries[index-p.entries[0].index].hash, true
	}
	return logentry.Hash{}, false
}

func (p *publisher) changes() (viewChanged, anythingChanged <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.viewChanged, p.anythingChanged
}
