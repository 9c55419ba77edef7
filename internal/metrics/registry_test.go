package metrics

import (
	"strings"
	"sync"
	"testing"
	"time"
)

func TestTextListsCountersAndGauges(t *testing.T) {
	var registry Registry
	registry.AddClasses("feed", "chat")
	registry.Class("feed").Fulfilled()
	registry.Class("chat").Rejected()
	registry.Class("chat").Failed()
	registry.Class("chat").Forwarded()
	registry.AddClasses("new", "feed") // chat is no longer configured, feed still is
	registry.Class("chat").Failed()
	registry.ConfigsAccepted.Add(1)
	registry.ConfigsRejected.Add(2)
	want := strings.ReplaceAll(`balancer.operations.feed.fulfilled:1|c
balancer.operations.feed.throttled:0|c
balancer.operations.feed.faulted:0|c
balancer.operations.chat.fulfilled:0|c
balancer.operations.chat.throttled:1|c
balancer.operations.chat.faulted:2|c
balancer.operations.new.fulfilled:0|c
balancer.operations.new.throttled:0|c
balancer.operations.new.faulted:0|c
balancer.relayed:1|c
balancer.open_requests:14|g
balancer.registry_entries:5|g
balancer.out_of_rotation:2|g
balancer.cfg_accepted:1|c
balancer.cfg_invalid:2|c
balancer.registry_age_ms:1250|g
balancer.registry_calls.reset:3|c
balancer.accept_queue:7|g
balancer.accept_wait_ms:40|g
balancer.rejections.no_server:4|c
balancer.input_limits.discovery_head:6|c
`, "\n", "\r\n")
	gauges := Gauges{
		OpenSessions: 14, ListedEndpoints: 5, AvoidedEndpoints: 2,
		AcceptQueue: 7, AcceptWait: 40 * time.Millisecond,
		List:       List{Age: 1250 * time.Millisecond, Calls: []Count{{"reset", 3}}},
		Rejections: []Count{{"no_server", 4}}, ExceededLimits: []Count{{"discovery_head", 6}},
	}
	if got := registry.Text(gauges); got != want {
		t.Errorf("got:\n%s", got)
	}
}

// Guards against a panic or a stray counter for a class that no configuration names, and for a nil
// registry.
func TestUnknownClassCountsNothing(t *testing.T) {
	var registry Registry
	for _, c := range []*Class{registry.Class("stranger"), (*Registry)(nil).Class("feed")} {
		c.Fulfilled()
		c.Rejected()
		c.Failed()
		c.Forwarded()
	}
	if got := registry.Text(Gauges{}); !strings.HasPrefix(got, "balancer.relayed:0|c") {
		t.Errorf("got:\n%s", got)
	}
}

// Guards against class names with separators or line breaks, which would corrupt the text format.
func TestClassNameCannotBreakLine(t *testing.T) {
	var registry Registry
	registry.AddClasses("a b:c|d\r\ne")
	if got := registry.Text(Gauges{}); !strings.HasPrefix(got,
		"balancer.operations.a_b_c_d__e.fulfilled:0|c\r\n") {
		t.Errorf("got %q", got)
	}
}

// Counting, adding classes and formatting run concurrently without losing counts.
func TestCountsWithConcurrentReadsAndNewClasses(t *testing.T) {
	var registry Registry
	registry.AddClasses("feed")
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 1000 {
				registry.Class("feed").Fulfilled()
				registry.AddClasses("feed", "other")
				_ = registry.Text(Gauges{})
			}
		})
	}
	wg.Wait()
	if got := registry.Text(Gauges{}); !strings.HasPrefix(got, "balancer.operations.feed.fulfilled:4000|c") {
		t.Errorf("got:\n%s", got)
	}
}
