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
type look struct {
	asked, heard time.Time
	agentapi.State
}

// sight is what a member holds at an index.
type sight struct {
	agent string
	state *logentry.State
	sum   [sha256.Size]byte // of the answer
	at    time.Time
}

// watchers ask all agents all the time.
type watchers struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu     sync.Mutex
	looks  map[string][]look // by agent, in order
	last   map[string]*logentry.State
	up     map[string]bool     // it answered when it was last asked
	sights map[uint64][]*sight // by index, of different sums only
}

func newWatchers(agents map[string]*testbed.Agent) *watchers {
	ctx, cancel := context.WithCancel(context.Background())
	w := &watchers{cancel: cancel, looks: map[string][]look{}, last: map[string]*logentry.State{}, up: map[string]bool{}, sights: map[uint64][]*sight{}}
	for name, a := range agents {
		w.wg.Go(func() {
			for w.look(name, a); fake.Sleep(ctx, looks); {
				w.look(name, a)
			}
		})
	}
	return w
}

func (w *watchers) end() {
	w.cancel()
	w.wg.Wait()
}

// look asks one agent how it stands, and what it holds where that is news.
func (w *watchers) look(name string, a *testbed.Agent) {
	l := look{asked: time.Now()}
	err := a.Call(agentapi.OperatorRequest{Method: "state"}, &l.State)
	l.heard = time.Now()
	w.mu.Lock()
	w.up[name] = err == nil
	if err == nil {
		w.looks[name] = append(w.looks[name], l)
	}
	news := err == nil && (w.last[name] == nil || w.last[name].Index != l.Index)
	w.mu.Unlock()
	if !news {
		return
	}
	var raw json.RawMessage
	state := &logentry.State{}
	if a.Call(agentapi.OperatorRequest{Method: "record"}, &raw) != nil || json.Unmarshal(raw, state) != nil {
		return // it has just gone
	}
	s := &sight{name, state, sha256.Sum256(raw), time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last[name] = state
	if !slices.ContainsFunc(w.sights[state.Index], func(o *sight) bool { return o.sum == s.sum }) {
		w.sights[state.Index] = append(w.sights[state.Index], s)
	}
}

// now is how an agent stood when it was last asked, if it answered.
func (w *watchers) now(name string) (l look, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n := len(w.looks[name]); n > 0 {
		l = w.looks[name][n-1]
	}
	return l, w.up[name]
}

// tree is what an agent held when it was last asked, and at which index.
func (w *watchers) tree(name string) (account.State, uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.last[name]; s != nil {
		return s.Accounts, s.Index
	}
	return account.State{}, 0
}

// await waits until an agent is seen to hold an entry.
func (w *watchers) await(ctx context.Context, name string, index uint64) bool {
	return testbed.AfterIndex(ctx, func() uint64 { _, at := w.tree(name); return at }, index, time.Second, func() {})
}

// leader is who leads the record and says so itself; empty for nobody.
func (w *watchers) leader() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(w.looks)) {
		if l := w.looks[name][len(w.looks[name])-1]; w.up[name] && l.Role == "leader" && l.WithinLease {
			return name
		}
	}
	return ""
}

// asOne tells whether all of some members answer, hear the record and hold the same.
func (w *watchers) asOne(names []string) bool {
	first, _ := w.now(names[0])
	for _, name := range names {
		l, up := w.now(name)
		if !up || !l.WithinLease || l.Leader == "" || l.Index != first.Index || l.Hash != first.Hash {
			return false
		}
	}
	return w.leader() != ""
}

// read tells whether of all of some members the tree is known at the index they are at.
func (w *watchers) read(names []string) bool {
	for _, name := range names {
		l, _ := w.now(name)
		if _, at := w.tree(name); at != l.Index {
			return false
		}
	}
	return true
}

// say tells people how all agents stand.
func (w *watchers) say() string {
	var b strings.Builder
	w.mu.Lock()
	names := slices.Sorted(maps.Keys(w.up))
	w.mu.Unlock()
	for _, name := range names {
		l, up := w.now(name)
		fmt.Fprintf(&b, "%s up %v index %d hash %.8s role %s leader %q fresh %v disk %q; ", name, up, l.Index, l.Hash, l.Role, l.Leader, l.WithinLease, l.DiskError)
	}
	return b.String()
}
