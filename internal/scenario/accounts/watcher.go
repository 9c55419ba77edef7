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

// stateSample is an agent's answer to the call "state".
type stateSample struct {
	askedAt, answeredAt time.Time
	agentapi.State
}

// treeSample is the state that a member held at an index.
type treeSample struct {
	agent     string
	state     *logentry.State
	checksum  [sha256.Size]byte // of the agent's answer
	sampledAt time.Time
}

// watcher polls all agents and records their states and trees.
type watcher struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu        sync.Mutex
	samples   map[string][]stateSample   // by agent, in order of time
	lastTrees map[string]*logentry.State // by agent
	isUp      map[string]bool            // by agent: it answered the last call
	trees     map[uint64][]*treeSample   // by index, one for each distinct checksum
}

func newWatcher(agents map[string]*testbed.Agent) *watcher {
	ctx, cancel := context.WithCancel(context.Background())
	w := &watcher{
		cancel:    cancel,
		samples:   map[string][]stateSample{},
		lastTrees: map[string]*logentry.State{},
		isUp:      map[string]bool{},
		trees:     map[uint64][]*treeSample{},
	}
	for name, a := range agents {
		w.wg.Go(func() {
			for w.poll(name, a); fake.Sleep(ctx, pollInterval); {
				w.poll(name, a)
			}
		})
	}
	return w
}

// close ends polling and waits for the goroutines.
func (w *watcher) close() {
	w.cancel()
	w.wg.Wait()
}

// poll requests one agent's state, and its tree if the state's index differs from that of the last tree.
func (w *watcher) poll(name string, a *testbed.Agent) {
	sample := stateSample{askedAt: time.Now()}
	err := a.Call(agentapi.OperatorRequest{Method: "state"}, &sample.State)
	sample.answeredAt = time.Now()
	w.mu.Lock()
	w.isUp[name] = err == nil
	if err == nil {
		w.samples[name] = append(w.samples[name], sample)
	}
	isNew := err == nil && (w.lastTrees[name] == nil || w.lastTrees[name].Index != sample.Index)
	w.mu.Unlock()
	if !isNew {
		return
	}
	var raw json.RawMessage
	state := &logentry.State{}
	if a.Call(agentapi.OperatorRequest{Method: "record"}, &raw) != nil || json.Unmarshal(raw, state) != nil {
		return // the agent stopped after its first answer
	}
	tree := &treeSample{name, state, sha256.Sum256(raw), time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastTrees[name] = state
	isKnown := slices.ContainsFunc(w.trees[state.Index], func(other *treeSample) bool {
		return other.checksum == tree.checksum
	})
	if !isKnown {
		w.trees[state.Index] = append(w.trees[state.Index], tree)
	}
}

// latest returns the last sample of an agent's state, and whether the agent answered the last call.
func (w *watcher) latest(name string) (sample stateSample, isUp bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n := len(w.samples[name]); n > 0 {
		sample = w.samples[name][n-1]
	}
	return sample, w.isUp[name]
}

// tree returns the last tree that an agent returned, and its index.
func (w *watcher) tree(name string) (account.State, uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.lastTrees[name]; s != nil {
		return s.Accounts, s.Index
	}
	return account.State{}, 0
}

// waitForIndex waits until an agent has applied the entry at an index. It returns false if that takes
// more than a second.
func (w *watcher) waitForIndex(ctx context.Context, name string, index uint64) bool {
	currentIndex := func() uint64 {
		_, at := w.tree(name)
		return at
	}
	return testbed.AfterIndex(ctx, currentIndex, index, time.Second, func() {})
}

// leader returns the name of a member that reports itself as leader within its lease; empty if there is
// none.
func (w *watcher) leader() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(w.samples)) {
		last := w.samples[name][len(w.samples[name])-1]
		if w.isUp[name] && last.Role == "leader" && last.WithinLease {
			return name
		}
	}
	return ""
}

// hasConverged reports whether all members answer, are within their lease and hold the same state, and
// one of them is the leader.
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

// hasCurrentTrees reports whether the last tree of each member has the index of its last state.
func (w *watcher) hasCurrentTrees(names []string) bool {
	for _, name := range names {
		l, _ := w.latest(name)
		if _, at := w.tree(name); at != l.Index {
			return false
		}
	}
	return true
}

// describe returns the last states of all agents as text for error messages.
func (w *watcher) describe() string {
	var b strings.Builder
	w.mu.Lock()
	names := slices.Sorted(maps.Keys(w.isUp))
	w.mu.Unlock()
	for _, name := range names {
		l, up := w.latest(name)
		fmt.Fprintf(&b, "%s up %v index %d hash %.8s role %s leader %q within lease %v disk %q; ",
			name, up, l.Index, l.Hash, l.Role, l.Leader, l.WithinLease, l.DiskError)
	}
	return b.String()
}
