package refmodel_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/discovery"
	"coralrelay/internal/dispatch"
)

// listWatcher is the part of a node that watches the endpoint list.
type listWatcher struct {
	eventLoop *dispatch.EventLoop
	watcher   *discovery.Watcher

	mu        sync.Mutex
	updates   []discovery.Update
	updatedAt []time.Time
}

func (w *listWatcher) UpdateEndpoints(u discovery.Update) {
	w.mu.Lock()
	w.updates, w.updatedAt = append(w.updates, u), append(w.updatedAt, time.Now())
	w.mu.Unlock()
	w.eventLoop.UpdateEndpoints(u.ListUpdate())
}

func (*listWatcher) Probe(string) {}

// firstFullListAfter returns when the first full list after a time arrived, or zero if none has.
func (w *listWatcher) firstFullListAfter(after time.Time) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, u := range w.updates {
		if u.Kind == balance.ListFull && w.updatedAt[i].After(after) {
			return w.updatedAt[i]
		}
	}
	return time.Time{}
}

// startListWatcher starts a listWatcher that ends with ctx.
func (d *fakeDiscovery) startListWatcher(
	ctx context.Context, t *testing.T, node string, seed uint64, settings balance.Settings,
) *listWatcher {
	w := &listWatcher{}
	w.watcher = discovery.New("discovery:1", w)
	w.watcher.Dial = d.dial(node)
	w.watcher.SetInstances(settings.Instances)
	loop, err := dispatch.New(dispatch.NewClock(), seed, settings, w, w.watcher)
	if err != nil {
		t.Fatal(err)
	}
	w.eventLoop = loop
	d.goroutines.Go(func() { loop.Run(ctx) })
	d.goroutines.Go(func() { w.watcher.Run(ctx, discovery.Update{}) })
	return w
}

// pollSettings returns the settings of one of n nodes that poll discovery for the list.
func pollSettings(n int) balance.Settings {
	return balance.Settings{
		Instances: n, Tick: 4 * ms, SubscribeRequired: true, SubscribeTimeout: 10 * time.Second,
		Classes: []balance.Class{{Name: "feed", LatencyObjective: 300 * ms, Deadline: time.Second}},
		Limits:  balance.Limits{MaxAttempts: 4},
	}
}
