package agent

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"coralrelay/internal/fleet/logentry"
	"coralrelay/internal/fleet/slo"
)

const (
	// maxQueuedSamples wait for one voter; beyond that the newest is dropped.
	maxQueuedSamples = 4
	// maxSamplesPerReport are taken from the node at once: it makes one for each interval.
	maxSamplesPerReport = 4
)

// sendSamples sends the queued samples to the voters until ctx ends, on a goroutine for each.
func (k *objectiveKeeper) sendSamples(ctx context.Context, goroutines *sync.WaitGroup) {
	if k == nil {
		return
	}
	for voter, queue := range k.queues {
		goroutines.Go(func() { k.sendQueue(ctx, voter, queue) })
	}
}

func (k *objectiveKeeper) sendQueue(ctx context.Context, voter string, queue <-chan []byte) {
	for {
		select {
		case <-ctx.Done():
			return
		case raw := <-queue:
			if err := k.send(voter, raw); err != nil {
				slog.Debug("latency sample not sent", "component", component, "error", err)
			}
		}
	}
}

// queueSamples takes the node's samples for the voters. They are always of the node beside
// this agent, whatever they say.
func (k *objectiveKeeper) queueSamples(now time.Duration, samples []slo.Sample) {
	for _, sample := range samples[:min(len(samples), maxSamplesPerReport)] {
		sample.Member, sample.Zone = k.name, k.zone
		raw, err := json.Marshal(sample)
		if err != nil {
			slog.Error("cannot encode a latency sample", "component", component, "error", err)
			return
		}
		for voter, queue := range k.queues {
			select {
			case queue <- raw:
			default:
				slog.Info("latency sample dropped, the voter's queue is full", "component", component, "voter", voter)
			}
		}
		if k.aggregator != nil {
			k.merge(now, sample)
		}
	}
}

// receiveSample takes a sample that another member has sent.
func (k *objectiveKeeper) receiveSample(now time.Duration, raw []byte) {
	var sample slo.Sample
	if err := logentry.UnmarshalStrict(raw, &sample); err != nil {
		slog.Warn("malformed latency sample", "component", component, "error", err)
		return
	}
	if k.aggregator != nil && sample.Member != k.name {
		k.merge(now, sample)
	}
}

// merge aggregates a sample, if its member is present and in the sample's zone.
func (k *objectiveKeeper) merge(now time.Duration, sample slo.Sample) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if zone, known := k.memberZones[sample.Member]; !known || zone != sample.Zone {
		return
	}
	if _, err := k.aggregator.Merge(k.ScaledTime(now), sample); err != nil {
		slog.Warn("latency sample rejected", "component", component, "error", err)
	}
}
