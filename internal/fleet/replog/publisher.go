package replog

import (
	"sync"
	"sync/atomic"
	"time"

	"coralrelay/internal/fleet/logentry"
)

// Bounds on the committed entries kept for followers. A follower that is further behind is
// sent the complete state.
const (
	maxKeptEntries = 4096
	maxKeptBytes   = 16 << 20
)

// committedEntry is one committed entry, as sent to followers.
type committedEntry struct {
	index uint64
	hash  logentry.Hash // of the chain up to and including this entry
	raw   []byte
}

// publisher holds the view and the last committed entries, and notifies waiters of changes.
// Its methods may be called from any goroutine.
type publisher struct {
	view            atomic.Pointer[View]
	mu              sync.Mutex
	entries         []committedEntry // consecutive, up to the index of the view's state
	entryBytes      int
	viewChanged     chan struct{} // closed at a change other than of ConfirmedAt and Path
	anythingChanged chan struct{} // closed at any change of the view
}

func newPublisher(initial *logentry.State) *publisher {
	p := &publisher{viewChanged: make(chan struct{}), anythingChanged: make(chan struct{})}
	p.view.Store(&View{State: initial, Role: RoleFollower})
	return p
}

// publish replaces the view with an edited copy and closes anythingChanged. It also closes
// viewChanged if notify is set. The caller holds mu.
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

// updateView edits fields of the view other than the state and the leader's confirmation.
func (p *publisher) updateView(edit func(*View)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.publish(edit, true)
}

// publishState publishes a state unless the view has it or a later one. raw is the entry that
// produced the state, or nil if the complete state was received or loaded.
func (p *publisher) publishState(next *logentry.State, raw []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.view.Load().State.Index
	if next.Index <= current {
		return
	}
	if next.Index != current+1 || raw == nil {
		p.entries, p.entryBytes = nil, 0
	}
	if raw != nil {
		p.entries = append(p.entries, committedEntry{next.Index, next.Hash, raw})
		p.entryBytes += len(raw)
	}
	p.dropOldEntries()
	p.publish(func(v *View) { v.State = next }, true)
}

// dropOldEntries drops the oldest entries that exceed the bounds. The caller holds mu.
func (p *publisher) dropOldEntries() {
	dropped := 0
	for len(p.entries)-dropped > maxKeptEntries || p.entryBytes > maxKeptBytes {
		p.entryBytes -= len(p.entries[dropped].raw)
		dropped++
	}
	p.entries = p.entries[dropped:]
}

// confirmLeader records that the leader was known to lead at a time, and the members that
// relayed this confirmation. An empty leader leaves the known leader unchanged.
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

// entriesAfter returns the committed entries after index. ok is false if some of them are no
// longer kept.
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

// hashAt returns the chain's hash at index, and whether that hash is still known.
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

// changes returns the channels that are closed at the next change of each kind.
func (p *publisher) changes() (viewChanged, anythingChanged <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.viewChanged, p.anythingChanged
}
