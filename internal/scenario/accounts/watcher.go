package accounts

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/fleet/logentry"
	"coralrelay/internal/scenario/testbed"
)

// look is an agent's answer to the ask "state", asked and answered at two times.
type stateSample struct {
	askedAt, answeredAt time.Time
	agentapi.State
}

// sight is what a member holds at an index.
type treeSample struct {
	agent     string
	state     *logentry.State
	checksum  [sha256.Size]byte // of the answer
	sampledAt time.Time
}

// watchers ask all agents all the time.
type watcher struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu        sync.Mutex
	samples   map[string][]stateSample // by agent, in order
	lastTrees map[string]*logentry.State
	isUp      map[string]bool          // it answered when it was last asked
	trees     map[uint64][]*treeSample // by index, of different sums only
}

func newWatcher(agents map[string]*testbed.Agent) *watcher {
	ctx, cancel := context.WithCancel(context.Background())
	w := &watcher{cancel: cancel, samples: map[string][]stateSample{}, lastTrees: map[string]*logentry.State{}, isUp: map[string]bool{}, trees: map[uint64][]*treeSample{}}
	for name, a := range agents {
		w.wg.Go(func() {
			for w.poll(name, a); fake.Sleep(ctx, pollInterval); {
				w.poll(name, a)
			}
		})
	}
	return w
}

func (w *watcher) close() {
	w.cancel()
	w.wg.Wait()
}

// look asks one agent how it stands, and what it holds where that is news.
func (w *watcher) poll(name string, a *testbed.Agent) {
	l := stateSample{askedAt: time.Now()}
	err := a.Call(agentapi.OperatorRequest{Method: "state"}, &l.State)
	l.answeredAt = time.Now()
	w.mu.Lock()
	w.isUp[name] = err == nil
	if err == nil {
		w.samples[name] = append(w.samples[name], l)
	}
	news := err == nil && (w.lastTrees[name] == nil || w.lastTrees[name].Index != l.Index)
	w.mu.Unlock()
	if !news {
		return
	}
	var raw json.RawMessage
	state := &logentry.State{}
	if a.Call(agentapi.OperatorRequest{Method: "record"}, &raw) != nil || json.Unmarshal(raw, state) != nil {
		return // it has just gone
	}
	s := &treeSample{name, state, sha256.Sum256(raw), time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastTrees[name] = state
	if !slices.ContainsFunc(w.trees[state.Index], func(o *treeSample) bool { return o.checksum == s.checksum }) {
		w.trees[state.Index] = append(w.trees[state.Index], s)
	}
}

// now is how an agent stood when it was last asked, if it answered.
func (w *watcher) latest(name string) (l stateSample, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n := len(w.samples[name]); n > 0 {
		l = w.samples[name][n-1]
	}
	return l, w.isUp[name]
}

// tree is what an agent held when it was last asked, and at which index.
func (w *watcher) tree(name string) (account.State, uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.lastTrees[name]; s != nil {
		return s.Accounts, s.Index
	}
	return account.State{}, 0
}

// await waits until an agent is seen to hold an entry.
func (w *watcher) waitForIndex(ctx context.Context, name string, index uint64) bool {
	return testbed.AfterIndex(ctx, func() uint64 { _, at := w.tree(name); return at }, index, time.Second, func() {})
}

// leader is who leads the record and says so itself; empty for nobody.
func (w *watcher) leader() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(w.samples)) {
		if l := w.samples[name][len(w.samples[name])-1]; w.isUp[name] && l.Role == "leader" && l.WithinLease {
			return name
		}
	}
	return ""
}

// asOne tells whether all of some members answer, hear the record and hold the same.
func (w *watcher) hasConverged(names []string) bool {
	first, _ := w.latest(names[0])
	for _, name := range names {
		l, up := w.latest(name)
		if !up || !l.WithinLease || l.Leader == "" || l.Index != first.Index || l.Hash != first.Hash {
			return false
		}
	}
	return w.leader() != ""
}

// read tells whether of all of some members the tree is known at the index they are at.
func (w *watcher) hasCurrentTrees(names []string) bool {
	for _, name := range names {
		l, _ := w.latest(name)
		if _, at := w.tree(name); at != l.Index {
			return false
		}
	}
	return true
}

// say tells people how all agents stand.
func (w *watcher) describe() string {
	var b strings.Builder
	w.mu.Lock()
	names := slices.Sorted(maps.Keys(w.isUp))
	w.mu.Unlock()
	for _, name := range names {
		l, up := w.latest(name)
		fmt.Fprintf(&b, "%s up %v index %d hash %.8s role %s leader %q fresh %v disk %q; ", name, up, l.Index, l.Hash, l.Role, l.Leader, l.WithinLease, l.DiskError)
	}
	return b.String()
}
