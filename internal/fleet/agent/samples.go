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
	// maxQueuedSamples limits the samples queued for one voter. Further samples are dropped.
	maxQueuedSamples = 4
	// maxSamplesPerReport limits the samples accepted in one report. The node produces one for each
	// interval.
	maxSamplesPerReport = 4
)

// sendSamples starts a goroutine for each other voter, which sends the queued samples to it until ctx ends.
func (o *objectiveManager) sendSamples(ctx context.Context, goroutines *sync.WaitGroup) {
	if o == nil {
		return
	}
	for voter, queue := range o.queues {
		goroutines.Go(func() { o.sendQueue(ctx, voter, queue) })
	}
}

func (o *objectiveManager) sendQueue(ctx context.Context, voter string, queue <-chan []byte) {
	for {
		select {
		case <-ctx.Done():
			return
		case raw := <-queue:
			if err := o.send(voter, raw); err != nil {
				slog.Debug("latency sample not sent", "component", component, "error", err)
			}
		}
	}
}

// queueSamples queues the node's samples for the other voters, and merges them here if this member is a
// voter. It sets the member and zone of each sample to those of this agent, whatever the sample says.
func (o *objectiveManager) queueSamples(now time.Duration, samples []slo.Sample) {
	for _, sample := range samples[:min(len(samples), maxSamplesPerReport)] {
		sample.Member, sample.Zone = o.name, o.zone
		raw, err := json.Marshal(sample)
		if err != nil {
			slog.Error("cannot encode a latency sample", "component", component, "error", err)
			return
		}
		for voter, queue := range o.queues {
			select {
			case queue <- raw:
			default:
				slog.Info("latency sample dropped, the voter's queue is full", "component", component, "voter", voter)
			}
		}
		if o.aggregator != nil {
			o.merge(now, sample)
		}
	}
}

// receiveSample merges an encoded sample that another member has sent.
func (o *objectiveManager) receiveSample(now time.Duration, raw []byte) {
	var sample slo.Sample
	if err := logentry.UnmarshalStrict(raw, &sample); err != nil {
		slog.Warn("malformed latency sample", "component", component, "error", err)
		return
	}
	if o.aggregator != nil && sample.Member != o.name {
		o.merge(now, sample)
	}
}

// merge aggregates a sample if its member is in the fleet and in the sample's zone.
func (o *objectiveManager) merge(now time.Duration, sample slo.Sample) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if zone, known := o.memberZones[sample.Member]; !known || zone != sample.Zone {
		return
	}
	if _, err := o.aggregator.Merge(o.ScaledTime(now), sample); err != nil {
		slog.Warn("latency sample rejected", "component", component, "error", err)
	}
}
