package proxy_test

// A side that does not read, or takes nothing.

import (
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"coralrelay/internal/bufconn"
)

// Lines pass byte for byte, and a reader that is slow holds up its next hop
// rather than memory: what was not read is not taken from the next hop either.
func TestSlowClientThrottlesUpstream(t *testing.T) {
	b := startSession(t)
	b.establish(t)
	line := make([]byte, bufconn.BufferSize)
	for i := range line {
		line[i] = byte(' ' + i%90)
	}
	copy(line[len(line)-2:], "\r\n")
	const most = 64 << 20 / bufconn.BufferSize // far more than the sockets' buffers hold
	written := 0
	b.upstream.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
	for ; written < most; written++ {
		if _, err := b.upstream.Write(line); err != nil {
			break
		}
	}
	if written == most {
		t.Fatalf("the node took all of %d lines from the next hop", most)
	}
	for i := range written {
		got, err := b.clientReader.ReadString('\n')
		if err != nil || got != string(line) {
			t.Fatalf("line %d of %d changed on its way: %v", i, written, err)
		}
	}
}

// A next hop that takes no lines any more but goes on sending was kept: what its caller
// wrote was read and dropped, and nobody was told. It is left like one that is silent.
func TestUpstreamThatAcceptsNothingMigratesClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startSessionOn(t, net.Pipe)
		b.establish(t)
		ticking := make(chan struct{})
		go func() { // until either side closes it
			defer close(ticking)
			for {
				if _, err := fmt.Fprint(b.upstream, "tick\r\n"); err != nil {
					return
				}
				time.Sleep(time.Second)
			}
		}()
		go fmt.Fprint(b.client, "are you there\r\n")
		begun, last := time.Now(), ""
		for time.Since(begun) < time.Minute {
			text, err := b.clientReader.ReadString('\n')
			if err != nil {
				break
			}
			last = text
		}
		if took := time.Since(begun); last != "MOVE\r\n" || took > 7*time.Second {
			t.Errorf("after %v the caller's last line is %q, want MOVE", took, last)
		}
		b.client.Close()
		b.upstream.Close()
		receive(t, b.finished)
		<-ticking
	})
}
