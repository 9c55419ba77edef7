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
	Fresh         bool      // that was within the lease
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
	created := &publisher{viewChanged: make(chan struct{}), anythingChanged: make(chan struct{})}
	created.view.Store(&View{State: initial, Role: "follower"})
	return created
}

// edit publishes a changed copy of the view. The lock is held.
func (h *publisher) publish(edit func(*View), notify bool) {
	view := *h.view.Load()
	edit(&view)
	h.view.Store(&view)
	close(h.anythingChanged)
	h.anythingChanged = make(chan struct{})
	if notify {
		close(h.viewChanged)
		h.viewChanged = make(chan struct{})
	}
}

// change edits what is said beside the state.
func (h *publisher) updateView(edit func(*View)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.publish(edit, true)
}

// put publishes the state after an entry, unless a later one is known.
func (h *publisher) publishState(next *logentry.State, raw []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := h.view.Load().State.Index
	if next.Index <= current {
		return
	}
	if next.Index != current+1 {
		h.entries, h.entryBytes = nil, 0
	}
	if raw != nil {
		h.entries, h.entryBytes = append(h.entries, committedEntry{next.Index, next.Hash, raw}), h.entryBytes+len(raw)
	} else {
		h.entries, h.entryBytes = nil, 0
	}
	dropped := 0
	for ; len(h.entries)-dropped > maxKeptEntries || h.entryBytes > maxKeptBytes; dropped++ {
		h.entryBytes -= len(h.entries[dropped].raw)
	}
	h.entries = h.entries[dropped:]
	h.publish(func(v *View) { v.State = next }, true)
}

// heard notes that a leader's word held at a time, and the way that it came.
func (h *publisher) confirmLeader(at time.Time, leader string, path []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.view.Load()
	h.publish(func(v *View) {
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
func (h *publisher) entriesAfter(index uint64) (entries []committedEntry, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := h.view.Load().State.Index
	if index >= current {
		return nil, true
	}
	if missing := current - index; missing <= uint64(len(h.entries)) {
		return h.entries[uint64(len(h.entries))-missing:], true
	}
	return nil, false
}

// hash returns the chain's hash after an index, if it is still known.
func (h *publisher) hashAt(index uint64) (logentry.Hash, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.view.Load().State; s.Index == index {
		return s.Hash, true
	}
	if kept := len(h.entries); kept > 0 && index >= h.entries[0].index && index <= h.entries[kept-1].index {
		return h.entries[index-h.entries[0].index].hash, true
	}
	return logentry.Hash{}, false
}

func (h *publisher) changes() (viewChanged, anythingChanged <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.viewChanged, h.anythingChanged
}
