package resume

import (
	"context"
	"fmt"
	"time"

	"coralrelay/internal/fake"
)

const (
	// freshnessBound is the time within which a change must reach each client that has a stream.
	freshnessBound = 2 * time.Second
	// freshnessInterval is the time between two comparisons of all clients.
	freshnessInterval = 200 * time.Millisecond
)

// watchFreshness compares the clients' versions with the feed as of freshnessBound ago, until ctx ends.
func (r *run) watchFreshness(ctx context.Context) {
	for fake.Sleep(ctx, freshnessInterval) {
		for _, client := range r.clients {
			checkedAt := time.Now().Add(-freshnessBound)
			versions, since := client.Versions()
			if client.WithoutResumption || since.IsZero() || since.After(checkedAt) {
				continue
			}
			r.checkVersions(client, versions, checkedAt)
		}
	}
}

// checkVersions checks that a client's versions are no older than those of the feed at a time.
func (r *run) checkVersions(client *fake.Client, versions map[int]uint64, at time.Time) {
	r.AddMetric("comparisons", 1)
	for listing, version := range r.feed.State(client.Group, r.feed.Head(client.Group, at)) {
		if versions[listing] < version {
			r.AddViolation("fresh", fmt.Sprintf("%s has version %d of %s's listing %d, %v after version %d",
				client.Key, versions[listing], client.Group, listing, freshnessBound, version))
		}
	}
}

// checkFinalVersions checks that each client has the latest version of every listing of its group.
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
