package udp

import (
	"testing"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/flowtable"
)

// The flows of a silent endpoint are placed elsewhere. An endpoint is silent if it stops answering
// its flows although its probes succeed, if its probes fail, or if it stops answering echo
// requests.
func TestSilentEndpointLosesItsFlows(t *testing.T) {
	type testCase struct {
		echo         string
		hung         bool
		unresponsive bool
	}
	for name, test := range map[string]testCase{
		"stops answering": {hung: true},
		"probes fail":     {unresponsive: true},
		"echoes fail":     {echo: "are you there", hung: true},
	} {
		options := func(options *Options) {
			options.Silence = flowtable.SilenceOptions{After: 300 * time.Millisecond, Datagrams: 5}
			options.Echo = test.echo
			if test.echo != "" {
				options.Silence.Datagrams = 0
			}
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			forEachSocketMode(t, func(t *testing.T, mode configure) {
				t.Parallel()
				listener, dispatcher, endpoints := startListener(t, mode.and(options))
				client := dial(t, listener)
				for range 40 {
					client.send("1")
					client.expect("a:1")
				}
				dispatcher.placeAt("b")
				endpoints.mu.Lock()
				endpoints.hung["a"], endpoints.unresponsive["a"] = test.hung, test.unresponsive
				endpoints.mu.Unlock()
				client.sendUntil("2", func(string) bool { return endpoints.count("b") > 0 })
				ended, silent := dispatcher.outcomes(), listener.Counts.Silent.Load()
				if len(ended) != 1 || ended[0] != balance.Reset || silent != 1 {
					t.Errorf("the placements ended with %v, %d flows counted as silent, want one Reset and 1",
						ended, silent)
				}
			})
		})
	}
}
