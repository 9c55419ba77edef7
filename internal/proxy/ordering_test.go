package proxy_test

// What comes between two steps of a transaction that stands or is about to.

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"coralrelay/balance"
	"coralrelay/internal/bufconn"
)

// A next hop that says more than a line may have, or never ends its line, was broken off
// by a reset without MOVE, although it still answered.
func TestOversizedUpstreamLineMigratesClient(t *testing.T) {
	b := startSession(t)
	b.establish(t)
	write(t, b.upstream, "whole\r\n"+strings.Repeat("x", bufconn.BufferSize+1))
	b.expectLine(t, b.clientReader, "whole\r\n")
	b.expectLine(t, b.clientReader, "MOVE\r\n")
	if outcome := receive(t, b.ended); outcome != balance.Reset {
		t.Errorf("ended as %v, want Reset", outcome)
	}
	b.client.Close()
	receive(t, b.finished)
}

// What a next hop has on its way when its caller is moved, half a line, does not reset it:
// the caller's last line is read and its end seen, and there is one MOVE.
func TestPartialUpstreamLineDuringMigration(t *testing.T) {
	for name, upstreamLine := range map[string]string{"we move": "", "both say it": "MOVE\r\n"} {
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
			for i := range 3 { // the first would tell that nobody reads any more, the next would fail
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

// Half a line of the caller's at the move takes nothing along: the next hop has whole lines,
// as many as came before its end, and then that end.
func TestPartialClientLineDuringMigration(t *testing.T) {
	b := startSession(t)
	b.establish(t)
	write(t, b.client, "whole\r\nhalf a li")
	b.expectLine(t, b.upstreamReader, "whole\r\n")
	b.session.Migrate()
	b.expectLine(t, b.clientReader, "MOVE\r\n")
	write(t, b.client, "ne\r\nand more\r\n") // crosses the end of the other leg
	b.expectLine(t, b.clientReader, "")
	rest, err := io.ReadAll(b.upstreamReader)
	if late := "half a line\r\nand more\r\n"; err != nil || !strings.HasPrefix(late, string(rest)) || len(rest) > 0 && rest[len(rest)-1] != '\n' {
		t.Errorf("the next hop read %q, %v", rest, err)
	}
	b.client.Close()
	receive(t, b.finished)
}

// UP and what ends its connection in one segment: the caller has UP, and then the end.
func TestUpstreamEndsRightAfterUp(t *testing.T) {
	ends := map[string]struct {
		end  func(upstream net.Conn)
		want balance.Outcome
	}{
		"ends":     {func(upstream net.Conn) { upstream.Close() }, balance.Reset},
		"says BYE": {func(upstream net.Conn) { fmt.Fprint(upstream, "BYE\r\n"); upstream.Close() }, balance.OK},
	}
	for name, tt := range ends {
		t.Run(name, func(t *testing.T) {
			b := startSession(t)
			tt.end(b.upstream) // it lies there before anybody is told of UP
			b.establish(t)
			if outcome := receive(t, b.ended); outcome != tt.want {
				t.Errorf("ended as %v, want %v", outcome, tt.want)
			}
			b.client.Close()
			receive(t, b.finished)
		})
	}
}

// A move that is asked for between UP and its relay: UP goes first, then MOVE.
func TestMigrationBeforeUpIsRelayed(t *testing.T) {
	near, client := connPair(t)
	nodeSide, upstream := connPair(t)
	b := newFixture(near, client, nodeSide, upstream)
	if !b.session.Establish("UP r1", "s1", b.upstreamConn) {
		t.Fatal("Up was not taken")
	}
	b.session.Migrate()
	b.session.Migrate()
	b.run()
	b.expectLine(t, b.clientReader, "UP r1\r\n")
	b.expectLine(t, b.clientReader, "MOVE\r\n")
	if outcome := receive(t, b.ended); outcome != balance.Cancelled {
		t.Errorf("ended as %v", outcome)
	}
	client.Close()
	receive(t, b.finished)
}

// Who is given up gets the answer that promises nothing, once, and is forgotten; who is
// answered already stays so.
func TestGiveUp(t *testing.T) {
	b := startSession(t)
	b.session.GiveUp()
	b.expectLine(t, b.clientReader, "ERR\r\n")
	receive(t, b.gone)
	receive(t, b.session.Context().Done())
	if b.session.Establish("UP r1", "s1", b.upstreamConn) {
		t.Error("an UP was taken for one that was given up")
	}
	b.session.GiveUp() // told a second time, the watcher's channel would be closed twice
	b.expectLine(t, b.clientReader, "")
	receive(t, b.finished)

	b = startSession(t)
	b.establish(t)
	b.session.GiveUp()
	write(t, b.upstream, "yes\r\n")
	b.expectLine(t, b.clientReader, "yes\r\n")
	b.client.Close()
	receive(t, b.finished)
}
