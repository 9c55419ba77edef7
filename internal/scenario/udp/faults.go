package udp

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"coralrelay/internal/fake"
)

const (
	// faultInterval is the time from the end of one fault to the next.
	faultInterval = 1500 * time.Millisecond
	// hangDuration is how long a server answers nothing.
	hangDuration = 4 * time.Second
	// silenceDetection is what of that the node may take to notice.
	silenceDetection = 1200 * time.Millisecond
	// disturbance is how long after a fault of its server a flow may move.
	disturbance = 5 * time.Second
)

// The begins of the flows' names that floods have.
const (
	spoofedFlows = "spoofed" // of one datagram, from made-up sources
	loudFlows    = "loud"    // of one source
)

// injectFaults has servers drain, hang, crash and come back, one after another, until ctx ends.
func (r *run) injectFaults(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.Options.Seed, 11))
	for round := 0; fake.Sleep(ctx, faultInterval); round++ {
		server := r.servers[rng.IntN(len(r.servers))]
		r.markDisturbed(server.Name)
		switch round % 4 {
		case 1:
			r.hangServer(ctx, server)
		case 2:
			r.AddMetric("servers killed", 1)
			r.BounceServer(ctx, r.discovery, server, []string{nodeName}, 300*time.Millisecond, 500*time.Millisecond)
			r.markDisturbed(server.Name)
		default:
			r.AddMetric("drains", 1)
			r.discovery.Set(server.Name, fake.Leaving, time.Time{}, nil)
			fake.Sleep(ctx, 1200*time.Millisecond)
			r.markDisturbed(server.Name)
			r.discovery.Set(server.Name, fake.Active, time.Time{}, nil)
		}
	}
}

// hangServer has a server answer nothing for a while, but for its health checks.
func (r *run) hangServer(ctx context.Context, server *fake.Server) {
	r.AddMetric("servers hung", 1)
	r.mu.Lock()
	r.hungSince[server.Name] = time.Now()
	r.mu.Unlock()
	server.SetDatagramsUnanswered(true)
	fake.Sleep(ctx, hangDuration)
	server.SetDatagramsUnanswered(false)
	r.mu.Lock()
	delete(r.hungSince, server.Name)
	r.mu.Unlock()
	r.markDisturbed(server.Name)
}

// markDisturbed notes that the flows of a server have a reason to move.
func (r *run) markDisturbed(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbedAt[server] = time.Now()
}

// observeDatagram holds what a server got to the rules.
func (r *run) observeDatagram(datagram fake.Datagram) {
	if strings.HasPrefix(datagram.Flow, spoofedFlows) {
		r.AddMetric("flood arrived", 1)
		return
	}
	if strings.HasPrefix(datagram.Flow, loudFlows) {
		r.countLoudFlow(datagram)
		return
	}
	r.CheckDrain(r.discovery, datagram.Node, datagram.Server, datagram.Flow+" "+datagram.Seq, datagram.At)
	r.AddMetric("arrived", 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countWhileHung(datagram)
	if previous := r.lastServer[datagram.Flow]; previous != "" && previous != datagram.Server {
		r.AddMetric("moved in mid-flow", 1)
		if disturbedAt := r.disturbedAt[previous]; disturbedAt.IsZero() || datagram.At.Sub(disturbedAt) > disturbance {
			r.AddMetric("moved without a fault", 1)
		}
	}
	r.lastServer[datagram.Flow] = datagram.Server
}

// countLoudFlow counts each flow of the one loud source once.
func (r *run) countLoudFlow(datagram fake.Datagram) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.lastServer[datagram.Flow]; !known {
		r.lastServer[datagram.Flow] = datagram.Server
		r.AddMetric(loudForwarded, 1)
	}
}

// countWhileHung counts what comes while a server answers nothing, and what of it comes to that
// one although the node has had the time to notice. The lock is held.
func (r *run) countWhileHung(datagram fake.Datagram) {
	for server, since := range r.hungSince {
		if datagram.At.Sub(since) < silenceDetection {
			continue
		}
		r.AddMetric("while one was silent", 1)
		if datagram.Server == server {
			r.AddMetric("to the silent one", 1)
		}
	}
}
