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

const testTimeout = 10 * time.Second // no test waits this long unless it fails

// systemClock is Unix time.
func systemClock() time.Duration { return time.Duration(time.Now().UnixNano()) }

// freeAddress returns an address for TCP and UDP on which nobody listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// Members receive each other's reports, and none from a member without the key. Many calls at once
// while membership changes must not deadlock, as they once did.
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
		isStranger := name == "stranger"
		config := Config{
			BindAddress: address,
			Peers:       slices.Clone(peers),
			KeyFile:     keyFile,
			Unencrypted: isStranger,
			Interval:    20 * time.Millisecond,
			LogOutput:   io.Discard,
		}
		go func() { ended <- member.Run(ctx, config) }()
		usage := balance.QuotaUsage{FirstAttempts: 10, Servers: []balance.ServerUsage{
			{ID: fmt.Sprint("bad-", isStranger), RecentAttempts: 5, RecentFailures: 5},
			{ID: "cold", WarmingUp: true, SlowStartBudget: float64(i + 1), RecentAttempts: 1},
		}}
		for range 2 { // two goroutines each
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
				break // its own tenth of 10, and a third of what the two others have left
			}
			if time.Since(startedAt) > testTimeout {
				t.Fatalf("%s: %+v", name, lease)
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
