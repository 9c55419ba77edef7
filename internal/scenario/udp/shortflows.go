package udp

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"coralrelay/internal/fake"
)

const (
	// concurrentFlows is the number of short flows that are active at a time.
	concurrentFlows = 300
	// clientAddresses is the number of source addresses. Flows use them in turn, so that an address
	// is reused after its previous flow has ended.
	clientAddresses = 20_000
	// datagramsPerFlow is the number of datagrams of a short flow, one per datagramInterval.
	datagramsPerFlow = 3
	datagramInterval = 15 * time.Millisecond
	// memoryInterval is the time between two samples of the node's memory.
	memoryInterval = 200 * time.Millisecond
	// maxMemoryGrowth is the maximum relative growth of the node's mean memory from the third
	// quarter of the flows to the last.
	maxMemoryGrowth = 0.1
)

// runShortFlows runs all short flows while servers drain, hang and crash, and samples the node's
// memory.
func (r *run) runShortFlows(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var faults sync.WaitGroup
	faults.Go(func() { r.injectFaults(ctx) })
	var started atomic.Int64 // flows
	var flows sync.WaitGroup
	for i := range concurrentFlows {
		flows.Go(func() {
			fake.Sleep(ctx, time.Duration(i)*rampUpTime/concurrentFlows)
			r.sendFlows(ctx, &started)
		})
	}
	done := make(chan struct{})
	go func() {
		flows.Wait()
		close(done)
	}()
	var memory memoryUse
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(memoryInterval):
		}
		bytes := float64(r.node.Process.ResidentMemory())
		memory.add(float64(started.Load())/float64(r.Flows), bytes)
		r.showProgress(started.Load(), bytes)
	}
	r.checkMemory(memory)
	cancel()
	faults.Wait()
}

// sendFlows runs short flows one after another until all have been started or ctx ends.
func (r *run) sendFlows(ctx context.Context, started *atomic.Int64) {
	for ctx.Err() == nil {
		number := started.Add(1)
		if number > int64(r.Flows) {
			return
		}
		name := fmt.Sprintf("f%d", number)
		address := uint32(number % clientAddresses)
		answered, strayReplies := fake.ProbeFlow(ctx, r.config.Listen, name, address,
			datagramsPerFlow, datagramInterval)
		r.AddMetric("answered", float64(answered))
		r.AddMetric("sent", datagramsPerFlow)
		for _, text := range strayReplies {
			r.AddViolation("stray", fmt.Sprintf("%s got %q", name, text))
		}
		r.mu.Lock()
		delete(r.lastServer, name)
		r.mu.Unlock()
	}
}

func (r *run) showProgress(flows int64, bytes float64) {
	if r.Progress != nil {
		_, _ = fmt.Fprintf(r.Progress, "\r%6d flows  %4.0f drains  %3.0f killed  node at %.1f MB ",
			flows, r.Metric("drains"), r.Metric("servers killed"), bytes/1e6)
	}
}

// memoryUse is the node's resident memory, in bytes.
type memoryUse struct {
	peak                      float64
	thirdQuarter, lastQuarter runningMean
}

// runningMean is the mean of the samples added to it.
type runningMean struct {
	sum   float64
	count int
}

func (m *runningMean) add(sample float64) {
	m.sum += sample
	m.count++
}

func (m runningMean) value() float64 { return m.sum / float64(m.count) }

// add records the memory in use when the given fraction of all flows, from 0 to 1, has been started.
func (m *memoryUse) add(fraction, bytes float64) {
	switch {
	case fraction > 0.75:
		m.lastQuarter.add(bytes)
	case fraction > 0.5:
		m.thirdQuarter.add(bytes)
	}
	m.peak = max(m.peak, bytes)
}

// checkMemory checks that the node's memory grew by at most maxMemoryGrowth towards the end of the
// run. Runs that may be too short to fill the flow table first are not checked.
func (r *run) checkMemory(memory memoryUse) {
	r.SetMetric("node MB at most", memory.peak/1e6)
	if memory.thirdQuarter.count == 0 || memory.lastQuarter.count == 0 {
		return
	}
	growth := memory.lastQuarter.value()/memory.thirdQuarter.value() - 1
	r.SetMetric("memory growth in the second half", growth)
	if growth > maxMemoryGrowth && r.Flows >= 10*r.Table {
		r.AddViolation("memory", fmt.Sprintf("node memory grew by %.0f%% from the third quarter to the last",
			100*growth))
	}
}
