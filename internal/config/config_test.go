package config

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"coralrelay/balance"
)

const good = `{"name":"n3","listen":"127.0.0.4:7070","discovery":"127.2.0.1:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":2048,"sockets":4096},
"known":{"generation":41,"reset":true,"instances":[{"instanceId":"s1","hostPort":"127.1.0.18:7070","zone":"a","lifecycle":"active","weight":1.0,"startedAtMs":0}]},
"settings":{"classes":[{"name":"feed","deadline":1.8,"effect":"read_like"}],"granularity":0.004}}`

func load(t *testing.T, text string, env map[string]string) (Config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(func(name string) string {
		if name == "BALANCER_CONFIG" && env[name] == "" {
			return path
		}
		return env[name]
	})
}

func TestLoad(t *testing.T) {
	c, err := load(t, good, map[string]string{"BALANCER_LISTEN": "127.0.0.5:7070"})
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n3" || c.Listen != "127.0.0.5:7070" || c.Discovery != "127.2.0.1:8500" || c.Seed != 0x8c1f30d27a5be964 ||
		c.Limits != (Limits{1, 2048, 4096}) || c.Known.Generation != 41 || len(c.Known.Entries) != 1 ||
		c.Settings.Classes[0] != (balance.Class{Name: "feed", Deadline: 1800 * time.Millisecond}) {
		t.Errorf("got %+v", c)
	}
	c, err = load(t, strings.Replace(good, `"limits":{"cores":1.0,"memory_mb":2048,"sockets":4096},`, "", 1), nil)
	if err != nil || c.Limits != (Limits{defaultCores, defaultMemoryMB, defaultSockets}) {
		t.Errorf("defaults: %+v, %v", c.Limits, err)
	}
}

// A message names the key at fault.
func TestFaultyKeys(t *testing.T) {
	tests := []struct{ old, new, key string }{
		{`"listen":"127.0.0.4:7070"`, `"listen":"somewhere"`, "listen"},
		{`"listen":"127.0.0.4:7070",`, ``, "listen"},
		{`"discovery":"127.2.0.1:8500"`, `"discovery":7`, "discovery"},
		{`"seed":"8c1f30d27a5be964"`, `"seed":"xyz"`, "seed"},
		{`"cores":1.0`, `"cores":0`, "limits.cores"},
		{`"memory_mb":2048`, `"memory_mb":"much"`, "memory_mb"},
		{`"memory_mb":2048`, `"memory_mb":1`, "limits.memory_mb"},
		{`"sockets":4096`, `"sockets":3`, "limits.sockets"},
		{`"generation":41,`, ``, "known"},
		{`"settings":{`, `"other":{`, "settings"},
		{`"read_like"`, `"perhaps"`, "settings"},
		{`"deadline":1.8`, `"deadline":"soon"`, "deadline"},
		{`"classes":[{"name":"feed","deadline":1.8,"effect":"read_like"}],`, ``, "settings.classes"},
		{`}}`, ``, "BALANCER_CONFIG"},
	}
	for _, tt := range tests {
		if _, err := load(t, strings.Replace(good, tt.old, tt.new, 1), nil); err == nil || !strings.Contains(err.Error(), tt.key) {
			t.Errorf("%s in place of %s: error %v, want one that names %s", tt.new, tt.old, err, tt.key)
		}
	}
	if _, err := load(t, good, map[string]string{"BALANCER_CONFIG": "/nowhere"}); err == nil || !strings.Contains(err.Error(), "BALANCER_CONFIG") {
		t.Errorf("no file: %v", err)
	}
	if _, err := load(t, good, map[string]string{"BALANCER_DISCOVERY": "x"}); err == nil || !strings.Contains(err.Error(), "BALANCER_DISCOVERY") {
		t.Errorf("variable: %v", err)
	}
}

// On a reload the file's discovery counts; other keys wait for a restart, and a
// file that can't be used changes nothing.
func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	env := func(name string) string {
		return map[string]string{"BALANCER_CONFIG": path, "BALANCER_DISCOVERY": "127.2.0.1:8500"}[name]
	}
	write := func(old, new string) {
		if err := os.WriteFile(path, []byte(strings.Replace(good, old, new, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("", "")
	c, err := Load(env)
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		old, new  string
		discovery string
		fixed     []string
		faulty    string
	}{
		{`127.2.0.1:8500`, `127.2.0.9:8500`, "127.2.0.9:8500", nil, ""},
		{`"sockets":4096`, `"sockets":512`, "127.2.0.1:8500", []string{"limits"}, ""},
		{`"127.2.0.1:8500"`, `"nowhere"`, "127.2.0.1:8500", nil, "discovery"},
		{`"discovery":"127.2.0.1:8500",`, ``, "127.2.0.1:8500", nil, "discovery"},
		{`"deadline":1.8`, `"deadline":"soon"`, "127.2.0.1:8500", nil, "deadline"},
	}
	for _, tt := range tests {
		write(tt.old, tt.new)
		next, fixed, err := c.Reload(env)
		if next.Discovery != tt.discovery || !slices.Equal(fixed, tt.fixed) || next.Limits != c.Limits {
			t.Errorf("%s: got %+v, fixed %v", tt.new, next, fixed)
		}
		if (err == nil) != (tt.faulty == "") || err != nil && !strings.Contains(err.Error(), tt.faulty) {
			t.Errorf("%s: error %v, want one that names %q", tt.new, err, tt.faulty)
		}
	}
}
