package proxy_test

// Tests of events between two steps of a session that is established or about to be.

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"coralrelay/balance"
	"coralrelay/internal/bufconn"
)

// An upstream that sends an oversized line, or never ends its line, used to be disconnected by a
// reset without MOVE, although it still answered.
func TestOversizedUpstreamLineMigratesClient(t *testing.T) {
	f := startSession(t)
	f.establish(t)
	write(t, f.upstream, "whole\r\n"+strings.Repeat("x", bufconn.BufferSize+1))
	f.expectLine(t, f.clientReader, "whole\r\n")
	f.expectLine(t, f.clientReader, "MOVE\r\n")
	f.expectOutcome(t, balance.Reset)
	f.closeClient(t)
}

// A partial line that an upstream sends while its client is migrated does not reset the upstream's
// connection: the upstream reads the client's last line and the end of the connection, and there is
// one MOVE.
func TestPartialUpstreamLineDuringMigration(t *testing.T) {
	for name, upstreamLine := range map[string]string{"migrated here": "", "migrated by both": "MOVE\r\n"} {
		t.Run(name, func(t *testing.T) {
			f := startSession(t)
			f.establish(t)
			write(t, f.client, "last\r\n")
			f.expectLine(t, f.upstreamReader, "last\r\n")
			write(t, f.upstream, upstreamLine)
			if upstreamLine != "" {
				f.expectLine(t, f.clientReader, upstreamLine)
			}
			f.session.Migrate()
			if upstreamLine == "" {
				f.expectLine(t, f.clientReader, "MOVE\r\n")
			}
			for i := range 3 { // without a reader, the first write provokes a reset and the next one fails
				if _, err := fmt.Fprintf(f.upstream, "half a line %d", i); err != nil && upstreamLine == "" {
					t.Errorf("write %d to the upstream: %v", i, err)
				}
			}
			f.expectLine(t, f.clientReader, "")   // the end, and no second MOVE
			f.expectLine(t, f.upstreamReader, "") // the end, and no reset
			f.client.Close()
			f.upstream.Close()
			receive(t, f.finished)
		})
	}
}

// A partial line of the client at the migration is not relayed: the upstream reads complete lines,
// as many as arrived before its connection was closed, and then the end.
func TestPartialClientLineDuringMigration(t *testing.T) {
	f := startSession(t)
	f.establish(t)
	write(t, f.client, "whole\r\nhalf a li")
	f.expectLine(t, f.upstreamReader, "whole\r\n")
	f.session.Migrate()
	f.expectLine(t, f.clientReader, "MOVE\r\n")
	write(t, f.client, "ne\r\nand more\r\n") // crosses the close of the upstream's connection
	f.expectLine(t, f.clientReader, "")
	rest, err := io.ReadAll(f.upstreamReader)
	isPrefix := strings.HasPrefix("half a line\r\nand more\r\n", string(rest))
	isComplete := len(rest) == 0 || rest[len(rest)-1] == '\n'
	if err != nil || !isPrefix || !isComplete {
		t.Errorf("the upstream read %q, %v", rest, err)
	}
	f.closeClient(t)
}

// An upstream sends UP and the end of its connection in one segment: the client reads UP, and then
// the end.
func TestUpstreamEndsRightAfterUp(t *testing.T) {
	sendBye := func(upstream net.Conn) {
		fmt.Fprint(upstream, "BYE\r\n")
		upstream.Close()
	}
	tests := map[string]struct {
		end  func(upstream net.Conn)
		want balance.Outcome
	}{
		"closes":    {func(upstream net.Conn) { upstream.Close() }, balance.Reset},
		"sends BYE": {sendBye, balance.OK},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := startSession(t)
			tt.end(f.upstream) // it is in the socket before the session is established
			f.establish(t)
			f.expectOutcome(t, tt.want)
			f.closeClient(t)
		})
	}
}

// A migration is requested between UP and its relay: the client reads UP first, then MOVE.
func TestMigrationBeforeUpIsRelayed(t *testing.T) {
	clientNear, client := connPair(t)
	upstreamNear, upstream := connPair(t)
	f := newFixture(clientNear, client, upstreamNear, upstream)
	if !f.session.Establish("UP r1", "s1", f.upstreamConn) {
		t.Fatal("the session did not accept UP")
	}
	f.session.Migrate()
	f.session.Migrate()
	f.run()
	f.expectLine(t, f.clientReader, "UP r1\r\n")
	f.expectLine(t, f.clientReader, "MOVE\r\n")
	f.expectOutcome(t, balance.Cancelled)
	f.closeClient(t)
}
