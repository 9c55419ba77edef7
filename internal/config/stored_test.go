package config

import (
	"os"
	"reflect"
	"testing"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/discovery"
)

// testdata/stored/config.json has every key of the configuration file; the keys of the settings object are
// covered by package settings. It must always load to the same values, and the environment variables must
// override it. The file is written by hand, as no program writes one.
func TestReadsStoredConfig(t *testing.T) {
	raw, err := os.ReadFile("testdata/stored/config.json")
	if err != nil {
		t.Fatal(err)
	}
	want := Config{Name: "n3", Listen: "127.0.0.4:7070", Discovery: "127.2.0.1:8500", AdminAddr: "127.0.0.4:15000",
		Seed: 0x8c1f30d27a5be964, Limits: Limits{Cores: 1.5, MemoryMB: 2048, Sockets: 4096},
		CachedEndpoints: discovery.Update{Kind: balance.ListFull, Generation: 41, Endpoints: []discovery.Endpoint{{Addr: "127.1.0.18:7070",
			ServerEntry: balance.ServerEntry{ID: "s1", Zone: "a", Cell: 3, StartedAt: 7 * time.Second}}}},
		Settings: balance.Settings{Instances: 9, Limits: balance.Limits{MaxAttempts: 6},
			Classes: []balance.Class{{Name: "feed", LatencyObjective: 300 * time.Millisecond, Deadline: 1800 * time.Millisecond}}}}
	check := func(env map[string]string) {
		t.Helper()
		got, err := load(t, string(raw), env)
		got.fileKeys = nil // the keys that Reload compares
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, %v\nwant %+v", got, err, want)
		}
	}
	check(nil)
	want.Name, want.Listen, want.Discovery, want.AdminAddr, want.InheritedFD = "n4", "127.0.0.5:1", "127.0.0.5:2", "127.0.0.5:3", 4
	check(map[string]string{"BALANCER_NAME": "n4", "BALANCER_LISTEN": "127.0.0.5:1", "BALANCER_DISCOVERY": "127.0.0.5:2",
		"BALANCER_MGMT": "127.0.0.5:3", "BALANCER_INHERITED_FD": "4"})
}
