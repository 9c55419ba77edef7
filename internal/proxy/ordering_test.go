package proxy_test

// What happens between two steps of a session that is established or about to be.

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"coralrelay/balance"
	"coralrelay/internal/bufconn"
)

// An upstream that sends more than a line may have, or never ends its line, was once broken
// off by a reset without MOVE, although it still answered.
func TestOversizedUpstreamLineMigratesClient(t *testing.T) {
	b := startSession(t)
	b.establish(t)
	write(t, b.upstream, "whole\r\n"+strings.Repeat("x", bufconn.BufferSize+1))
	b.expectLine(t, b.clientReader, "whole\r\n")
	b.expectLine(t, b.clientReader, "MOVE\r\n")
	b.expectOutcome(t, balance.Reset)
	b.closeClient(t)
}

// What an upstream has on its way when its client is migrated, half a line, does not reset
// it: the client's last line is read and its end seen, and there is one MOVE.
func TestPartialUpstreamLineDuringMigration(t *testing.T) {
	for name, upstreamLine := range map[string]string{"migrated here": "", "migrated by both": "MOVE\r\n"} {
		t.Run(name, func(t *testing.T) {
			b := startSession(t)
			b.establish(t)
			write(t, b.client, "last\r\n")
			b.expectLine(t, b.upstreamReader, "last\r\n")
			write(t, b.upstream, upstreamLine)
			if upstreamLine != "" {
				b.expectLine(t, b.clientReader, upstreamLine)
			}
			b.session.Migrate()
			if upstreamLine == "" {
				b.expectLine(t, b.clientReader, "MOVE\r\n")
			}
			for i := range 3 { // if nobody read any more, the first would show it and the next would fail
				if _, err := fmt.Fprintf(b.upstream, "half a line %d", i); err != nil && upstreamLine == "" {
					t.Errorf("piece %d: %v", i, err)
				}
			}
			b.expectLine(t, b.clientReader, "")   // the end, and no second MOVE
			b.expectLine(t, b.upstreamReader, "") // the end, and no reset
			b.client.Close()
			b.upstream.Close()
			receive(t, b.finished)
		})
	}
}

// Half a line of the client's at the migration is not relayed: the upstream has complete
// lines, as many as came before its end, and then that end.
func TestPartialClientLineDuringMigration(t *testing.T) {
	b := startSession(t)
	b.establish(t)
	write(t, b.client, "whole\r\nhalf a li")
	b.expectLine(t, b.upstreamReader, "whole\r\n")
	b.session.Migrate()
	b.expectLine(t, b.clientReader, "MOVE\r\n")
	write(t, b.client, "ne\r\nand more\r\n") // crosses the end of the other connection
	b.expectLine(t, b.clientReader, "")
	rest, err := io.ReadAll(b.upstreamReader)
	isPrefix := strings.HasPrefix("half a line\r\nand more\r\n", string(rest))
	isComplete := len(rest) == 0 || rest[len(rest)-1] == '\n'
	if err != nil || !isPrefix || !isComplete {
		t.Errorf("the upstream read %q, %v", rest, err)
	}
	b.closeClient(t)
}

// UP and what ends its connection in one segment: the client reads UP, and then the end.
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
			b := startSession(t)
			tt.end(b.upstream) // it is in the socket before the session is established
			b.establish(t)
			b.expectOutcome(t, tt.want)
			b.closeClient(t)
		})
	}
}

// A migration that is asked for between UP and its relay: UP goes first, then MOVE.
func TestMigrationBeforeUpIsRelayed(t *testing.T) {
	clientNear, client := connPair(t)
	upstreamNear, upstream := connPair(t)
	b := newFixture(clientNear, client, upstreamNear, upstream)
	if !b.session.Establish("UP r1", "s1", b.upstreamConn) {
		t.Fatal("UP was not taken")
	}
	b.session.Migrate()
	b.session.Migrate()
	b.run()
	b.expectLine(t, b.clientReader, "UP r1\r\n")
	b.expectLine(t, b.clientReader, "MOVE\r\n")
	b.expectOutcome(t, balance.Cancelled)
	b.closeClient(t)
}
