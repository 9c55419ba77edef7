package objectives

import (
	"bufio"
	"context"
	"fmt"
	"math"
	mrand "math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/fleet/logentry"
	"coralrelay/internal/fleet/slo"
	"coralrelay/internal/scenario/testbed"
)

// reply is a final answer as a tenant's client saw it.
type clientReply struct {
	tenant, reply string
	startedAt     time.Time
	took          time.Duration
}

// steered is that the record has another allocation of a contract.
type steeringChange struct {
	slo.Allocation
	movedShare float64            // of the contract, against where it went before
	leftByZone map[string]float64 // of it, by region
	at         time.Time
}

// clients open tenants' transactions at the rate until ctx ends.
func (r *run) openSessions(ctx context.Context, all *sync.WaitGroup) {
	rng := mrand.New(mrand.NewPCG(r.Options.Seed, 21))
	tenants := r.tenants()
	next := time.Now()
	for id := 0; fake.Sleep(ctx, time.Until(next)); id++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / r.Testbed.Rate * float64(time.Second)))
		at, x := 0, rng.Float64()
		for at < len(tenants)-1 && x >= tenants[at].trafficShare {
			x -= tenants[at].trafficShare
			at++
		}
		node, addr := r.Testbed.Nodes.Pick(rng)
		all.Go(func() { r.runClient(ctx, id, tenants[at].Name, node, addr) })
	}
}

func (r *run) runClient(ctx context.Context, id int, tenant, node, addr string) {
	begun := time.Now()
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_ = conn.SetDeadline(begun.Add(testbed.Patience + 500*time.Millisecond))
	fmt.Fprintf(conn, "OPEN %016x %s-%x c=feed,d=%d,realm=%s\r\n", 1<<40+id, tenant, id, testbed.Patience.Milliseconds(), tenant)
	text, err := bufio.NewReader(conn).ReadString('\n')
	took := time.Since(begun)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		r.AddViolation("answer", fmt.Sprintf("%s-%x at %s got no final answer: %v", tenant, id, node, err))
		return
	}
	word, _, _ := strings.Cut(strings.TrimSpace(text), " ")
	r.mu.Lock()
	r.replies = append(r.replies, clientReply{tenant, word, begun, took})
	r.mu.Unlock()
	r.AddMetric("tenants_"+strings.ToLower(word), 1)
	if word == "UP" {
		fake.Sleep(ctx, 2*time.Second) // so long that one is little of a server's load
	}
}

// watchRecord notes each change of an allocation.
func (r *run) watchAllocations(ctx context.Context) {
	last, steps := map[string]slo.Allocation{}, uint64(0)
	for at := 0; fake.Sleep(ctx, 100*time.Millisecond); at++ {
		var state logentry.State
		if err := r.Agents[r.Names[at%len(r.Names)]].Call(agentapi.OperatorRequest{Method: "record"}, &state); err != nil || state.Contracts.AllocationVersion <= steps {
			continue // an agent that is behind, or has not met anybody
		}
		steps = state.Contracts.AllocationVersion
		r.mu.Lock()
		for _, a := range state.Contracts.Allocations {
			old, ok := last[a.Contract]
			if ok && old.SteeredAt == a.SteeredAt {
				continue
			}
			if !ok { // it was drawn evenly among the next hops that it may use
				old.Shares = r.evenShares(r.tenant(a.Contract))
			}
			x := steeringChange{Allocation: a, at: time.Now(), leftByZone: map[string]float64{}}
			for _, zone := range r.Testbed.Zones {
				x.movedShare += max(a.Shares[zone]-old.Shares[zone], 0)
				x.leftByZone[zone] = old.Shares[zone] - a.Shares[zone]
			}
			if last[a.Contract] = a; a.UnmetReason != "" {
				r.unmetReasons[a.Contract] = a.UnmetReason
			}
			r.changes = append(r.changes, x)
		}
		r.mu.Unlock()
	}
}

// even is where a contract goes that was never steered.
func (r *run) evenShares(t tenant) map[string]float64 {
	shares, all := map[string]float64{}, 0.0
	for _, v := range r.AllServers() {
		if len(t.Zones) == 0 || slices.Contains(t.Zones, v.Zone) {
			shares[v.Zone]++
			all++
		}
	}
	for zone := range shares {
		shares[zone] /= all
	}
	return shares
}

// moves are the changes of allocations between two times.
func (r *run) changesBetween(from, until time.Time) (list []steeringChange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.changes {
		if x.at.After(from) && x.at.Before(until) {
			list = append(list, x)
		}
	}
	return list
}

// seen is a bound as a client sees it: his node asks a next hop for its load before it sends
// him there, and his own way comes on top.
func (t *tenant) boundAtClient() time.Duration { return t.Objective + 10*time.Millisecond }

// kept is the share of a tenant's windows of one second between two times in which his
// promise held, as his clients saw it; and how many windows there were.
func (r *run) keptShare(t tenant, from, until time.Time) (share float64, n int) {
	window := t.Window / timeScale
	all, good := map[int64]float64{}, map[int64]float64{}
	r.mu.Lock()
	for _, r := range r.replies {
		if r.tenant == t.Name && !r.startedAt.Before(from) && r.startedAt.Before(until) {
			at := int64(r.startedAt.Sub(from) / window)
			if all[at]++; r.reply == "UP" && r.took <= t.boundAtClient() {
				good[at]++
			}
		}
	}
	r.mu.Unlock()
	held := 0
	for at, of := range all {
		if good[at] >= t.Quantile*of {
			held++
		}
	}
	return float64(held) / math.Max(float64(len(all)), 1), len(all)
}

// into is the share of a tenant's first lines that went into a zone, as its servers saw it;
// and how many he had in all.
func (r *run) shareIntoZone(name, zone string, from, until time.Time) (share float64, all int) {
	n := 0
	for _, l := range r.FirstLines(from, until) {
		if strings.HasPrefix(l.Key, name+"-") {
			if all++; l.Zone == zone {
				n++
			}
		}
	}
	return float64(n) / math.Max(float64(all), 1), all
}

// fullest is the greatest load of a zone in any two seconds.
func (r *run) peakLoad(zone string, from, until time.Time) (most float64) {
	const over = 2 * time.Second
	for at := from; !at.Add(over).After(until); at = at.Add(over / 4) {
		most = max(most, r.zoneLoad(zone, at, at.Add(over)))
	}
	return most
}

// given is the greatest part of what a zone bears that allocations between two times gave it,
// by what tenants ask for.
func (r *run) peakAllocatedLoad(zone string, from, until time.Time) (most float64) {
	now := map[string]float64{}
	for _, t := range r.tenants() {
		now[t.Name] = t.trafficShare * r.evenShares(t)[zone]
	}
	bears := float64(len(r.ServersIn(zone))) / float64(r.Options.Servers) / testbed.UsualLoad
	for _, x := range r.changesBetween(time.Time{}, until) {
		now[x.Contract] = r.tenant(x.Contract).trafficShare * max(x.Shares[zone]-x.Overflow, 0)
		sum := 0.0
		for _, part := range now {
			sum += part
		}
		if x.at.After(from) {
			most = max(most, sum/bears)
		}
	}
	return most
}

func (r *run) tenant(name string) tenant {
	all := r.tenants()
	return all[slices.IndexFunc(all, func(t tenant) bool { return t.Name == name })]
}
