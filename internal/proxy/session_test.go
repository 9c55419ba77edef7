package proxy_test

import (
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"coralrelay/balance"
)

// An attempt leaves its own deadlines on the connection that it passes to the session. Lines that
// arrived after these deadlines used to be dropped, as writes to the upstream failed.
func TestRelaysLinesAfterTheAttemptsDeadline(t *testing.T) {
	f := startSession(t)
	write(t, f.client, "too early\r\n")
	if err := f.upstreamConn.SetWriteDeadline(time.Now().Add(-time.Second)); err != nil {
		t.Fatal(err)
	}
	f.establish(t)
	f.expectLine(t, f.upstreamReader, "too early\r\n") // it was held back only until UP
	write(t, f.client, "are you there\r\n")
	f.expectLine(t, f.upstreamReader, "are you there\r\n")
	write(t, f.upstream, "yes\r\n")
	f.expectLine(t, f.clientReader, "yes\r\n")
}

// A hung upstream answers nothing: its client is migrated well before 7 s.
func TestSilentUpstreamMigratesClient(t *testing.T) {
	f := startSession(t)
	f.establish(t)
	write(t, f.client, "are you there\r\n")
	f.expectLine(t, f.upstreamReader, "are you there\r\n")
	start := time.Now()
	f.expectLine(t, f.clientReader, "MOVE\r\n")
	if took := time.Since(start); took < time.Second || took > 7*time.Second {
		t.Errorf("the client was migrated after %v", took)
	}
	f.expectOutcome(t, balance.Reset)
	if _, err := f.upstreamReader.ReadByte(); err == nil {
		t.Error("the upstream's connection is still open")
	}
}

// A late answer within the grace period keeps the session.
func TestLateAnswerKeepsTheSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startSessionOn(t, net.Pipe)
		f.establish(t)
		write(t, f.client, "are you there\r\n")
		f.expectLine(t, f.upstreamReader, "are you there\r\n")
		write(t, f.upstream, "LOA") // a partial line must survive the answer timeout
		time.Sleep(1600 * time.Millisecond)
		go fmt.Fprint(f.upstream, "D 7\r\nyes\r\n")
		f.expectLine(t, f.clientReader, "LOAD 7\r\n")
		f.expectLine(t, f.clientReader, "yes\r\n")
		f.session.Migrate()
		f.expectLine(t, f.clientReader, "MOVE\r\n")
		f.expectOutcome(t, balance.Cancelled)
		f.closeClient(t)
	})
}

// When either side's connection ends, the other side's connection is closed.
func TestEndOfEitherSideClosesTheOther(t *testing.T) {
	upstreamWrites := func(line string) func(*testing.T, *fixture) {
		return func(t *testing.T, f *fixture) {
			write(t, f.upstream, line)
			f.upstream.Close()
		}
	}
	migrateWithinALine := func(t *testing.T, f *fixture) {
		write(t, f.upstream, "whole\r\nhalf a li")
		f.expectLine(t, f.clientReader, "whole\r\n")
		f.session.Migrate()
	}
	tests := []struct {
		name     string
		end      func(t *testing.T, f *fixture)
		want     balance.Outcome
		lastLine string // that the client reads
	}{
		{"upstream sends BYE", upstreamWrites("BYE x0=1\r\n"), balance.OK, "BYE x0=1\r\n"},
		{"upstream sends MOVE", upstreamWrites("MOVE\r\n"), balance.Cancelled, "MOVE\r\n"},
		{"upstream closes", func(_ *testing.T, f *fixture) { f.upstream.Close() }, balance.Reset, ""},
		{"upstream resets", func(t *testing.T, f *fixture) { reset(t, f.upstream) }, balance.Reset, ""},
		{"client closes", func(_ *testing.T, f *fixture) { f.client.Close() }, balance.Cancelled, ""},
		{"client resets", func(t *testing.T, f *fixture) { reset(t, f.client) }, balance.Cancelled, ""},
		{"migrated", func(_ *testing.T, f *fixture) { f.session.Migrate() }, balance.Cancelled, "MOVE\r\n"},
		{"migrated within a line", migrateWithinALine, balance.Cancelled, "MOVE\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := startSession(t)
			f.establish(t)
			tt.end(t, f)
			f.expectOutcome(t, tt.want)
			if got, _ := f.clientReader.ReadString('\n'); got != tt.lastLine {
				t.Errorf("the client's last line is %q, want %q", got, tt.lastLine)
			}
			if _, err := f.upstreamReader.ReadByte(); err == nil {
				t.Error("the upstream's connection is still open")
			}
			receive(t, f.finished)
		})
	}
}
