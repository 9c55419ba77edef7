package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"coralrelay/internal/fleet/logentry"
	"coralrelay/internal/fleet/replog"
)

// fakeLog is an in-memory replicated log with a single voter. It applies entries to a real
// logentry.State and commits each after 20 ms.
type fakeLog struct {
	mu         sync.Mutex
	view       replog.View
	changed    chan struct{}
	blocked    bool // whether proposals stay undecided until their context ends
	pending    int  // number of pending proposals
	maxPending int  // maximum of pending so far
}

func newFakeLog(t *testing.T, g logentry.Genesis) *fakeLog {
	s, err := logentry.NewState(g)
	if err != nil {
		t.Fatal(err)
	}
	return &fakeLog{view: replog.View{State: s, Role: "leader", Leader: "n1"}, changed: make(chan struct{})}
}

func (l *fakeLog) View() replog.View {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.view
}

func (l *fakeLog) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// change updates the view and notifies the receivers of Changed.
func (l *fakeLog) change(f func(v *replog.View)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.view)
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *fakeLog) IsLeader() bool { return l.View().WithinLease }

func (l *fakeLog) Propose(ctx context.Context, e logentry.Entry) (o logentry.Outcome, err error) {
	l.mu.Lock()
	l.pending++
	l.maxPending = max(l.maxPending, l.pending)
	blocked := l.blocked
	l.mu.Unlock()
	defer l.endProposal()
	if blocked {
		<-ctx.Done()
		return o, fmt.Errorf("%w: %w", replog.ErrOutcomeUnknown, ctx.Err())
	}
	time.Sleep(20 * time.Millisecond)
	raw, err := json.Marshal(e)
	if err != nil {
		return o, err
	}
	l.change(func(v *replog.View) { v.State, o = v.State.Apply(raw) })
	return o, nil
}

func (l *fakeLog) endProposal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending--
}
