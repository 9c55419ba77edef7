package objectives

import (
	"context"
	"errors"
	"fmt"
	mrand "math/rand/v2"
	"strings"
	"sync"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/scenario/testbed"
)

// sessionDuration is the duration of a session that was served. It is long enough that one session
// is a small part of a server's load.
const sessionDuration = 2 * time.Second

// clientReply is a final answer that a tenant's client received.
type clientReply struct {
	tenant, reply string
	startedAt     time.Time
	took          time.Duration
}

// openSessions opens the tenants' sessions at the scenario's rate until ctx ends.
func (r *run) openSessions(ctx context.Context, wg *sync.WaitGroup) {
	rng := mrand.New(mrand.NewPCG(r.Options.Seed, 21))
	tenants := r.tenants()
	next := time.Now()
	for id := 0; fake.Sleep(ctx, time.Until(next)); id++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / r.Testbed.Rate * float64(time.Second)))
		tenant := drawTenant(rng, tenants)
		node, addr := r.Testbed.Nodes.Pick(rng)
		wg.Go(func() { r.runClient(ctx, id, tenant.Name, node, addr) })
	}
}

// drawTenant draws a tenant at random, weighted by the shares of the traffic.
func drawTenant(rng *mrand.Rand, tenants []tenant) tenant {
	index, rest := 0, rng.Float64()
	for index < len(tenants)-1 && rest >= tenants[index].trafficShare {
		rest -= tenants[index].trafficShare
		index++
	}
	return tenants[index]
}

// runClient runs one client of a tenant. The client must receive a final answer, and holds its
// session for sessionDuration if it is served.
func (r *run) runClient(ctx context.Context, id int, tenant, node, addr string) {
	line := fmt.Sprintf("OPEN %016x %s-%x c=feed,d=%d,realm=%s",
		1<<40+id, tenant, id, testbed.FinalAnswerTimeout.Milliseconds(), tenant)
	session, err := testbed.OpenSession(ctx, addr, line)
	if err == nil {
		defer session.Close()
	}
	switch {
	case ctx.Err() != nil || errors.Is(err, testbed.ErrUnreachable):
		return
	case err != nil:
		r.AddViolation("answer", fmt.Sprintf("%s-%x at node %s received no final answer: %v",
			tenant, id, node, err))
		return
	}
	r.mu.Lock()
	r.replies = append(r.replies, clientReply{tenant, session.Reply, session.StartedAt, session.Took})
	r.mu.Unlock()
	r.AddMetric("tenants_"+strings.ToLower(session.Reply), 1)
	if session.Reply == "UP" {
		fake.Sleep(ctx, sessionDuration)
	}
}

// metShare returns the share of a tenant's windows between two times in which its objective was met
// at its clients, and the number of windows. At timeScale, a window lasts one second.
func (r *run) metShare(t tenant, from, until time.Time) (share float64, windows int) {
	window := t.Window / timeScale
	all, good := map[int64]float64{}, map[int64]float64{}
	r.mu.Lock()
	for _, reply := range r.replies {
		if reply.tenant != t.Name || reply.startedAt.Before(from) || !reply.startedAt.Before(until) {
			continue
		}
		index := int64(reply.startedAt.Sub(from) / window)
		all[index]++
		if reply.reply == "UP" && reply.took <= t.boundAtClient() {
			good[index]++
		}
	}
	r.mu.Unlock()
	met := 0
	for index, count := range all {
		if good[index] >= t.Quantile*count {
			met++
		}
	}
	return float64(met) / max(float64(len(all)), 1), len(all)
}

// shareIntoZone returns the share of a tenant's first lines between two times that the servers of a
// zone received, and the number of the tenant's first lines in all zones.
func (r *run) shareIntoZone(tenant, zone string, from, until time.Time) (share float64, all int) {
	count := 0
	for _, line := range r.FirstLines(from, until) {
		if !strings.HasPrefix(line.Key, tenant+"-") {
			continue
		}
		all++
		if line.Zone == zone {
			count++
		}
	}
	return float64(count) / max(float64(all), 1), all
}
