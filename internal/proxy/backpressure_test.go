package proxy_test

// A side that does not read, or accepts nothing.

import (
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"coralrelay/internal/bufconn"
)

// Lines are relayed byte for byte, and a slow reader holds up its upstream rather than
// memory: what was not read is not taken from the upstream either.
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
	if err := b.upstream.SetWriteDeadline(time.Now().Add(300 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	for ; written < most; written++ {
		if _, err := b.upstream.Write(line); err != nil {
			break
		}
	}
	if written == most {
		t.Fatalf("all of %d lines were taken from the upstream", most)
	}
	for i := range written {
		got, err := b.clientReader.ReadString('\n')
		if err != nil || got != string(line) {
			t.Fatalf("line %d of %d changed on its way: %v", i, written, err)
		}
	}
}

// An upstream that accepts no lines any more but goes on sending was once kept: what its
// client wrote was read and discarded, and nobody noticed. It is left like a silent one.
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
			t.Errorf("after %v the client's last line is %q, want MOVE", took, last)
		}
		b.client.Close()
		b.upstream.Close()
		receive(t, b.finished)
		<-ticking
	})
}
