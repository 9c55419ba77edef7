package proxy_test

import (
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"coralrelay/balance"
)

// An attempt leaves its own deadlines on the connection that it hands over. Lines that came
// after them were once dropped: writes to the upstream failed.
func TestRelaysLinesAfterTheAttemptsDeadline(t *testing.T) {
	b := startSession(t)
	write(t, b.client, "too early\r\n")
	if err := b.upstreamConn.SetWriteDeadline(time.Now().Add(-time.Second)); err != nil {
		t.Fatal(err)
	}
	b.establish(t)
	b.expectLine(t, b.upstreamReader, "too early\r\n") // it waited for UP, and no longer
	write(t, b.client, "are you there\r\n")
	b.expectLine(t, b.upstreamReader, "are you there\r\n")
	write(t, b.upstream, "yes\r\n")
	b.expectLine(t, b.clientReader, "yes\r\n")
}

// A hung upstream answers nothing: its client is migrated, well before 7 s.
func TestSilentUpstreamMigratesClient(t *testing.T) {
	b := startSession(t)
	b.establish(t)
	write(t, b.client, "are you there\r\n")
	b.expectLine(t, b.upstreamReader, "are you there\r\n")
	begun := time.Now()
	b.expectLine(t, b.clientReader, "MOVE\r\n")
	if took := time.Since(begun); took < time.Second || took > 7*time.Second {
		t.Errorf("migrated after %v", took)
	}
	b.expectOutcome(t, balance.Reset)
	if _, err := b.upstreamReader.ReadByte(); err == nil {
		t.Error("the upstream's connection is still open")
	}
}

// An answer that comes late but comes keeps the session: here within the grace period.
func TestLateAnswerKeepsTheSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startSessionOn(t, net.Pipe)
		b.establish(t)
		write(t, b.client, "are you there\r\n")
		b.expectLine(t, b.upstreamReader, "are you there\r\n")
		write(t, b.upstream, "LOA") // half a line must outlive the wait for the rest
		time.Sleep(1600 * time.Millisecond)
		go fmt.Fprint(b.upstream, "D 7\r\nyes\r\n")
		b.expectLine(t, b.clientReader, "LOAD 7\r\n")
		b.expectLine(t, b.clientReader, "yes\r\n")
		b.session.Migrate()
		b.expectLine(t, b.clientReader, "MOVE\r\n")
		b.expectOutcome(t, balance.Cancelled)
		b.closeClient(t)
	})
}

// Either side's end ends the other side.
func TestEndOfEitherSideEndsTheOther(t *testing.T) {
	upstreamWrites := func(line string) func(*testing.T, *fixture) {
		return func(t *testing.T, b *fixture) {
			write(t, b.upstream, line)
			b.upstream.Close()
		}
	}
	migrateWithinALine := func(t *testing.T, b *fixture) {
		write(t, b.upstream, "whole\r\nhalf a li")
		b.expectLine(t, b.clientReader, "whole\r\n")
		b.session.Migrate()
	}
	tests := []struct {
		name     string
		end      func(t *testing.T, b *fixture)
		want     balance.Outcome
		lastLine string // that the client reads
	}{
		{"upstream sends BYE", upstreamWrites("BYE x0=1\r\n"), balance.OK, "BYE x0=1\r\n"},
		{"upstream sends MOVE", upstreamWrites("MOVE\r\n"), balance.Cancelled, "MOVE\r\n"},
		{"upstream closes", func(_ *testing.T, b *fixture) { b.upstream.Close() }, balance.Reset, ""},
		{"upstream resets", func(t *testing.T, b *fixture) { reset(t, b.upstream) }, balance.Reset, ""},
		{"client closes", func(_ *testing.T, b *fixture) { b.client.Close() }, balance.Cancelled, ""},
		{"client resets", func(t *testing.T, b *fixture) { reset(t, b.client) }, balance.Cancelled, ""},
		{"migrated", func(_ *testing.T, b *fixture) { b.session.Migrate() }, balance.Cancelled, "MOVE\r\n"},
		{"migrated within a line", migrateWithinALine, balance.Cancelled, "MOVE\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := startSession(t)
			b.establish(t)
			tt.end(t, b)
			b.expectOutcome(t, tt.want)
			if got, _ := b.clientReader.ReadString('\n'); got != tt.lastLine {
				t.Errorf("the client's last line is %q, want %q", got, tt.lastLine)
			}
			if _, err := b.upstreamReader.ReadByte(); err == nil {
				t.Error("the upstream's connection is still open")
			}
			receive(t, b.finished)
		})
	}
}
