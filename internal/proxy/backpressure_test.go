package proxy_test

// Tests of a side that reads slowly or accepts nothing.

import (
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"coralrelay/internal/bufconn"
)

// Lines are relayed byte for byte, and a slow client throttles its upstream instead of using
// memory: what the client has not read is not read from the upstream either.
func TestSlowClientThrottlesUpstream(t *testing.T) {
	f := startSession(t)
	f.establish(t)
	line := make([]byte, bufconn.BufferSize)
	for i := range line {
		line[i] = byte(' ' + i%90)
	}
	copy(line[len(line)-2:], "\r\n")
	const maxLines = 64 << 20 / bufconn.BufferSize // far more than the sockets' buffers hold
	written := 0
	if err := f.upstream.SetWriteDeadline(time.Now().Add(300 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	for ; written < maxLines; written++ {
		if _, err := f.upstream.Write(line); err != nil {
			break
		}
	}
	if written == maxLines {
		t.Fatalf("all %d lines were read from the upstream", maxLines)
	}
	for i := range written {
		got, err := f.clientReader.ReadString('\n')
		if err != nil || got != string(line) {
			t.Fatalf("line %d of %d was changed by the relay: %v", i, written, err)
		}
	}
}

// An upstream that accepts no more lines but continues to send used to be kept: its client's lines
// were read and discarded, and this was not detected. Its client is migrated as from a silent
// upstream.
func TestUpstreamThatAcceptsNothingMigratesClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startSessionOn(t, net.Pipe)
		f.establish(t)
		ticking := make(chan struct{})
		go func() { // ends when either side closes the connection
			defer close(ticking)
			for {
				if _, err := fmt.Fprint(f.upstream, "tick\r\n"); err != nil {
					return
				}
				time.Sleep(time.Second)
			}
		}()
		go fmt.Fprint(f.client, "are you there\r\n")
		start, last := time.Now(), ""
		for time.Since(start) < time.Minute {
			text, err := f.clientReader.ReadString('\n')
			if err != nil {
				break
			}
			last = text
		}
		if took := time.Since(start); last != "MOVE\r\n" || took > 7*time.Second {
			t.Errorf("after %v the client's last line is %q, want MOVE", took, last)
		}
		f.client.Close()
		f.upstream.Close()
		receive(t, f.finished)
		<-ticking
	})
}
