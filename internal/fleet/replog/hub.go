package replog

import (
	"sync"
	"sync/atomic"
	"time"

	"coralrelay/internal/fleet/logentry"
)

// Bounds on the entries that are kept to be served; who is further behind gets a whole state.
const (
	mostLines = 4096
	mostBytes = 16 << 20
)

// View is what a member knows at one time.
type View struct {
	State       *logentry.State
	ConfirmedAt time.Time // when a leader's word was last known to hold; by the monotonic clock
	Fresh       bool      // that was within the lease
	Role        string    // leader, voter, follower; waiting or memory for a voter without a vote
	Leader      string    // its name, as far as known
	DiskError   string    // what is wrong with the disk; empty for nothing
	Path        []string  // by which the word came: from the leader to the upstream
	Followers   int       // followers that ask this member
}

// line is one committed entry.
type line struct {
	index uint64
	hash  logentry.Hash // of the chain after it
	raw   []byte
}

// hub holds the view and wakes who waits for its next change.
type hub struct {
	view  atomic.Pointer[View]
	mu    sync.Mutex
	lines []line // consecutive, the last is the view's
	bytes int
	woken chan struct{} // closed when the view changes in more than its age
	moved chan struct{} // closed when it changes at all
}

func newHub(s *logentry.State) *hub {
	h := &hub{woken: make(chan struct{}), moved: make(chan struct{})}
	h.view.Store(&View{State: s, Role: "follower"})
	return h
}

// edit publishes a changed copy of the view. The lock is held.
func (h *hub) edit(f func(*View), loud bool) {
	v := *h.view.Load()
	f(&v)
	h.view.Store(&v)
	close(h.moved)
	h.moved = make(chan struct{})
	if loud {
		close(h.woken)
		h.woken = make(chan struct{})
	}
}

// change edits what is said beside the state.
func (h *hub) change(f func(*View)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.edit(f, true)
}

// put publishes the state after an entry, unless a later one is known.
func (h *hub) put(next *logentry.State, raw []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := h.view.Load().State.Index
	if next.Index <= at {
		return
	}
	if next.Index != at+1 {
		h.lines, h.bytes = nil, 0
	}
	if raw != nil {
		h.lines, h.bytes = append(h.lines, line{next.Index, next.Hash, raw}), h.bytes+len(raw)
	} else {
		h.lines, h.bytes = nil, 0
	}
	drop := 0
	for ; len(h.lines)-drop > mostLines || h.bytes > mostBytes; drop++ {
		h.bytes -= len(h.lines[drop].raw)
	}
	h.lines = h.lines[drop:]
	h.edit(func(v *View) { v.State = next }, true)
}

// heard notes that a leader's word held at a time, and the way that it came.
func (h *hub) heard(at time.Time, leader string, path []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.view.Load()
	h.edit(func(v *View) {
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
func (h *hub) since(index uint64) (lines []line, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := h.view.Load().State.Index
	if index >= at {
		return nil, true
	}
	if n := at - index; n <= uint64(len(h.lines)) {
		return h.lines[uint64(len(h.lines))-n:], true
	}
	return nil, false
}

// hash returns the chain's hash after an index, if it is still known.
func (h *hub) hash(index uint64) (logentry.Hash, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.view.Load().State; s.Index == index {
		return s.Hash, true
	}
	if n := len(h.lines); n > 0 && index >= h.lines[0].index && index <= h.lines[n-1].index {
		return h.lines[index-h.lines[0].index].hash, true
	}
	return logentry.Hash{}, false
}

func (h *hub) waits() (woken, moved <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.woken, h.moved
}
