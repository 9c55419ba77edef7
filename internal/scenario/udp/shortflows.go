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
	// concurrentFlows is how many short flows are under way at once.
	concurrentFlows = 300
	// clientAddresses is how many addresses flows come from; one comes again when its flow
	// before is over.
	clientAddresses = 20_000
	// datagramsPerFlow is what a short flow sends, one each datagramInterval.
	datagramsPerFlow = 3
	datagramInterval = 15 * time.Millisecond
	// memoryInterval is the time from one look at the node's memory to the next.
	memoryInterval = 200 * time.Millisecond
	// maxMemoryGrowth is by what part the node's memory may grow from the third quarter of the
	// flows to the last.
	maxMemoryGrowth = 0.1
)

// playShortFlows sends all short flows while servers drain, hang and crash, and watches the
// node's memory meanwhile.
func (r *run) playShortFlows(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var faults sync.WaitGroup
	faults.Go(func() { r.injectFaults(ctx) })
	var begun atomic.Int64 // flows
	var flows sync.WaitGroup
	for i := range concurrentFlows {
		flows.Go(func() {
			fake.Sleep(ctx, time.Duration(i)*arrivals/concurrentFlows)
			r.sendFlows(ctx, &begun)
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
		bytes := r.node.ResidentMemory()
		memory.add(float64(begun.Load())/float64(r.Flows), bytes)
		r.showProgress(begun.Load(), bytes)
	}
	r.checkMemory(memory)
	cancel()
	faults.Wait()
}

// sendFlows sends one short flow after the other until all have begun or ctx ends.
func (r *run) sendFlows(ctx context.Context, begun *atomic.Int64) {
	for ctx.Err() == nil {
		number := begun.Add(1)
		if number > int64(r.Flows) {
			return
		}
		name := fmt.Sprintf("f%d", number)
		address := uint32(number % clientAddresses)
		answered, strays := fake.ProbeFlow(ctx, r.config.Listen, name, address, datagramsPerFlow, datagramInterval)
		r.AddMetric("answered", float64(answered))
		r.AddMetric("sent", datagramsPerFlow)
		for _, text := range strays {
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
	thirdQuarter, lastQuarter mean
}

// mean is that of several samples.
type mean struct {
	sum   float64
	count int
}

func (m *mean) add(sample float64) {
	m.sum += sample
	m.count++
}

func (m mean) value() float64 { return m.sum / float64(m.count) }

// add notes the memory in use when a part of all flows, 0 to 1, had begun.
func (m *memoryUse) add(part, bytes float64) {
	switch {
	case part > 0.75:
		m.lastQuarter.add(bytes)
	case part > 0.5:
		m.thirdQuarter.add(bytes)
	}
	m.peak = max(m.peak, bytes)
}

// checkMemory checks that the node's memory has stopped growing, if the table had the time to
// fill.
func (r *run) checkMemory(memory memoryUse) {
	r.SetMetric("node MB at most", memory.peak/1e6)
	if memory.thirdQuarter.count == 0 || memory.lastQuarter.count == 0 {
		return
	}
	growth := memory.lastQuarter.value()/memory.thirdQuarter.value() - 1
	r.SetMetric("memory growth in the second half", growth)
	if growth > maxMemoryGrowth && r.Flows >= 10*r.Table {
		r.AddViolation("memory", fmt.Sprintf("grew by %.0f%% from the third quarter to the last", 100*growth))
	}
}
