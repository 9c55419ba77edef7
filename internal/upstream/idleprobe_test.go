package upstream

import (
	"bufio"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"coralrelay/balance"
)

// A kept connection is used again however long it has been idle since the last probe: the deadline of
// that probe, left on the connection, once made each look at it fail, so that nearly every probe made a
// connection of its own.
func TestReusesProbeConnectionThatWasIdleForLongerThanAProbe(t *testing.T) {
	const probes, probeTimeout = 4, 150 * time.Millisecond
	var conns atomic.Int32
	pool, observations, _ := startPool(t, func(conn net.Conn) {
		conns.Add(1)
		for lines := bufio.NewScanner(conn); lines.Scan(); {
			fmt.Fprint(conn, "PONG x0=0.5\r\n")
		}
	})
	pool.SetLimits(Limits{ConnectTimeout: testTimeout, ProbeTimeout: probeTimeout})
	for i := range probes {
		pool.Probe("s1")
		if got := observations.next(t); got.outcome != balance.OK {
			t.Fatalf("probe %d: %+v", i, got)
		}
		time.Sleep(probeTimeout + probeTimeout/4) // what is tested: its deadline passes meanwhile
	}
	if count := conns.Load(); count != 1 {
		t.Errorf("%d connections for %d probes", count, probes)
	}
}
