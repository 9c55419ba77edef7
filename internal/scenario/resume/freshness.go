package resume

import (
	"context"
	"fmt"
	"time"

	"coralrelay/internal/fake"
)

const (
	// freshnessBound is how long after a change each client with a stream has to have it.
	freshnessBound = 2 * time.Second
	// freshnessInterval is the time from one comparison of all clients to the next.
	freshnessInterval = 200 * time.Millisecond
)

// watchFreshness compares what clients have with the feed of freshnessBound ago, until ctx ends.
func (r *run) watchFreshness(ctx context.Context) {
	for fake.Sleep(ctx, freshnessInterval) {
		for _, client := range r.clients {
			before := time.Now().Add(-freshnessBound)
			versions, since := client.Versions()
			if client.WithoutResumption || since.IsZero() || since.After(before) {
				continue
			}
			r.checkVersions(client, versions, before)
		}
	}
}

// checkVersions holds a client's versions to the feed as it was at a time.
func (r *run) checkVersions(client *fake.Client, versions map[int]uint64, at time.Time) {
	r.AddMetric("comparisons", 1)
	for listing, version := range r.feed.State(client.Group, r.feed.Head(client.Group, at)) {
		if versions[listing] < version {
			r.AddViolation("fresh", fmt.Sprintf("%s has version %d of %s's listing %d, %v after version %d",
				client.Key, versions[listing], client.Group, listing, freshnessBound, version))
		}
	}
}

// checkFinalVersions holds every client to the latest version of everything.
func (r *run) checkFinalVersions() {
	for _, client := range r.clients {
		if client.WithoutResumption {
			continue
		}
		versions, since := client.Versions()
		if since.IsZero() {
			r.AddViolation("fresh", client.Key+" has no stream at the end")
			continue
		}
		r.checkVersions(client, versions, time.Now())
	}
}
