package gossip

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/fleet/quota"
	"coralrelay/internal/loopback"
)

var testQuotaConfig = quota.Config{
	Epoch:              1500 * time.Millisecond,
	LeaseTimeout:       time.Minute,
	ReportTTL:          time.Minute,
	RetryRatio:         0.1,
	MaxOutlierFraction: 1,
}

// testTimeout is how long a test waits for a condition before it fails.
const testTimeout = 10 * time.Second

// systemClock returns Unix time.
func systemClock() time.Duration { return time.Duration(time.Now().UnixNano()) }

// freeAddress returns an address on which no process listens, for TCP or UDP.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// Members with the key receive each other's reports, and none from a member without it. The concurrent
// calls of ReportQuotaUsage guard against a deadlock that occurred when membership changed during such
// calls: see the lock order in newDelegate.
func TestMembersWithKeyExchangeReports(t *testing.T) {
	keyFile := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(keyFile, []byte(strings.Repeat("5a", 32)+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 8)
	var peers []string
	members := map[string]*Member{}
	for i, name := range []string{"a", "b", "c", "stranger"} {
		address := freeAddress(t)
		peers = append(peers, address)
		member := NewMember(name, testQuotaConfig, quota.Guards{}, systemClock)
		members[name] = member
		isUnencrypted := name == "stranger"
		config := Config{
			BindAddress: address,
			Peers:       slices.Clone(peers),
			KeyFile:     keyFile,
			Unencrypted: isUnencrypted,
			Interval:    20 * time.Millisecond,
			LogOutput:   io.Discard,
		}
		go func() { ended <- member.Run(ctx, config) }()
		usage := balance.QuotaUsage{FirstAttempts: 10, Servers: []balance.ServerUsage{
			{ID: fmt.Sprint("bad-", isUnencrypted), RecentAttempts: 5, RecentFailures: 5},
			{ID: "cold", WarmingUp: true, SlowStartBudget: float64(i + 1), RecentAttempts: 1},
		}}
		for range 2 { // two goroutines for each member
			go func() {
				for ctx.Err() == nil {
					member.ReportQuotaUsage(usage)
				}
			}()
		}
	}
	usage := balance.QuotaUsage{FirstAttempts: 10, Servers: []balance.ServerUsage{
		{ID: "bad-false", RecentAttempts: 5, RecentFailures: 5},
	}}
	for _, name := range []string{"a", "b", "c"} {
		for startedAt := time.Now(); ; {
			lease := members[name].ReportQuotaUsage(usage)
			if lease.RetryBudget > 1.5 && slices.Equal(lease.EjectedServers, []string{"bad-false"}) {
				break // a tenth of its own 10 attempts, and a third of what the two others have left
			}
			if time.Since(startedAt) > testTimeout {
				t.Fatalf("member %s: lease %+v after the time-out", name, lease)
			}
		}
	}
	cancel()
	for range 4 {
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}
