package config

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"coralrelay/balance"
)

const validFile = `{"name":"n3","listen":"127.0.0.4:7070","discovery":"127.2.0.1:8500","seed":"8c1f30d27a5be964",
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

func TestLoadsFileAndEnvironment(t *testing.T) {
	c, err := load(t, validFile, map[string]string{"BALANCER_LISTEN": "127.0.0.5:7070"})
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n3" || c.Listen != "127.0.0.5:7070" || c.Discovery != "127.2.0.1:8500" || c.Seed != 0x8c1f30d27a5be964 ||
		c.Limits != (Limits{1, 2048, 4096}) || c.CachedEndpoints.Generation != 41 || len(c.CachedEndpoints.Endpoints) != 1 ||
		c.Settings.Classes[0] != (balance.Class{Name: "feed", Deadline: 1800 * time.Millisecond}) {
		t.Errorf("got %+v", c)
	}
	c, err = load(t, strings.Replace(validFile, `"limits":{"cores":1.0,"memory_mb":2048,"sockets":4096},`, "", 1), nil)
	if err != nil || c.Limits != (Limits{defaultCores, defaultMemoryMB, defaultSockets}) {
		t.Errorf("defaults: %+v, %v", c.Limits, err)
	}
}

// An error names the invalid key or variable.
func TestErrorNamesFaultyKey(t *testing.T) {
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
		if _, err := load(t, strings.Replace(validFile, tt.old, tt.new, 1), nil); err == nil || !strings.Contains(err.Error(), tt.key) {
			t.Errorf("%s in place of %s: error %v, want one with %s", tt.new, tt.old, err, tt.key)
		}
	}
	if _, err := load(t, validFile, map[string]string{"BALANCER_CONFIG": "/nowhere"}); err == nil || !strings.Contains(err.Error(), "BALANCER_CONFIG") {
		t.Errorf("missing file: %v", err)
	}
	if _, err := load(t, validFile, map[string]string{"BALANCER_DISCOVERY": "x"}); err == nil || !strings.Contains(err.Error(), "BALANCER_DISCOVERY") {
		t.Errorf("invalid variable: %v", err)
	}
}

// completeFile is a file as the platform writes it. Its settings have keys that a node does not read.
const completeFile = `{"name":"n3","listen":"127.0.0.4:7070","mgmt":"127.0.0.4:15000","discovery":"127.2.0.1:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":2048,"sockets":4096},
"known":{"generation":41,"reset":true,"instances":[{"instanceId":"s1","hostPort":"127.1.0.18:7070","zone":"a","lifecycle":"active","weight":1.0,"startedAtMs":0}]},
"settings":{"classes":[{"name":"feed","deadline":1.8,"objective":0.3,"effect":"read_like"}],"granularity":0.004,
"guarantees":{"drainGrace":0.3},"limits":{"mostTries":6},"zones":["a","b"],"tiers":[]}}`

const classText = `{"name":"feed","deadline":1.8,"objective":0.3,"effect":"read_like"}`

// reload loads the first file and then reloads with the second.
func reload(t testing.TB, first, second string) (c, next Config, restartKeys []string, err error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	env := func(name string) string {
		return map[string]string{"BALANCER_CONFIG": path, "BALANCER_DISCOVERY": "127.2.0.1:8500"}[name]
	}
	for i, text := range []string{first, second} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			if c, err = Load(env); err != nil {
				t.Fatal(err)
			}
		}
	}
	next, restartKeys, err = c.Reload(env)
	return c, next, restartKeys, err
}

// A reload applies the file's discovery address and settings; other changed keys need a restart.
func TestReloadTakesDiscoveryAndSettings(t *testing.T) {
	for _, tt := range []struct {
		old, new    string
		restartKeys []string
		want        func(c Config) bool
	}{
		{`127.2.0.1:8500`, `127.2.0.9:8500`, nil, func(c Config) bool { return c.Discovery == "127.2.0.9:8500" }},
		{`"sockets":4096`, `"sockets":512`, []string{"limits"}, func(c Config) bool { return c.Limits.Sockets == 4096 }},
		{`"127.0.0.4:15000"`, `"127.0.0.4:15001"`, []string{"mgmt"}, func(c Config) bool { return c.AdminAddr == "127.0.0.4:15000" }},
		{`"mostTries":6`, `"mostTries":2`, nil, func(c Config) bool { return c.Settings.Limits.MaxAttempts == 2 }},
		{classText, classText + "," + strings.Replace(classText, "feed", "feed_new", 1), nil, func(c Config) bool {
			return len(c.Settings.Classes) == 2 && c.Settings.Classes[1].Name == "feed_new"
		}},
		{classText, `{"effect":"non_idempotent","name":"other","deadline":3,"objective":1,"more":7}`, nil, func(c Config) bool {
			return len(c.Settings.Classes) == 1 && c.Settings.Classes[0].Idempotency == balance.NonIdempotent
		}},
		{`"tiers":[]`, `"tiers":["x"],"further":{}`, nil, func(c Config) bool { return true }},
		{`{"instanceId":"s1","hostPort":"127.1.0.18:7070","zone":"a","lifecycle":"active","weight":1.0,"startedAtMs":0}`, ``, nil,
			func(c Config) bool { return len(c.CachedEndpoints.Endpoints) == 1 }},
	} {
		_, next, restartKeys, err := reload(t, completeFile, strings.Replace(completeFile, tt.old, tt.new, 1))
		if err != nil || !slices.Equal(restartKeys, tt.restartKeys) || !tt.want(next) {
			t.Errorf("%s: got %+v, restartKeys %v, %v", tt.new, next, restartKeys, err)
		}
	}
}

// An invalid file is rejected as a whole, including its discovery address, with an error that names the key.
func TestRejectedReloadChangesNothing(t *testing.T) {
	type file struct{ name, text, key string }
	files := []file{{"empty", "", "BALANCER_CONFIG"}, {"blank", " \n", "BALANCER_CONFIG"}, {"null", "null", "listen"},
		{"a list", "[]", "BALANCER_CONFIG"}, {"two documents", completeFile + completeFile, "BALANCER_CONFIG"}, {"binary", "\x00\x01", "BALANCER_CONFIG"}}
	for i := range completeFile {
		files = append(files, file{fmt.Sprint("cut at ", i), completeFile[:i], "BALANCER_CONFIG"})
	}
	for key, values := range map[string][]string{
		`"deadline":1.8`: {"0", "-5", `"soon"`, "null", "1e300", "-1e300", "1e12", "1e400", "true", "[]", `""`, "NaN"},
		`"mostTries":6`:  {"0", "-1", `"few"`, "null", "1e300", "2.5", "1e9", "{}", "9999999999999999999999"},
	} {
		name, _, _ := strings.Cut(key, ":")
		for _, v := range values {
			names := strings.Trim(name, `"`)
			if v == "NaN" || v == "1e400" {
				names = "" // invalid JSON, or out of range for a float64: the decoder may not name the key
			}
			files = append(files, file{name + ":" + v, strings.Replace(completeFile, key, name+":"+v, 1), names})
		}
	}
	for _, key := range []string{"name", "listen", "mgmt", "discovery", "seed", "limits", "cores", "memory_mb", "sockets", "known", "settings",
		"classes", "deadline", "objective", "effect", "granularity", "guarantees", "drainGrace", "mostTries", "zones", "tiers"} {
		files = append(files, file{"without " + key, strings.Replace(completeFile, `"`+key+`":`, `"no longer":`, 1), key})
	}
	files = append(files,
		file{"no class", strings.Replace(completeFile, classText, "", 1), "classes"},
		file{"a class twice", strings.Replace(completeFile, classText, classText+","+classText, 1), "classes[1].name"},
		file{"a class without a name", strings.Replace(completeFile, `"feed"`, `""`, 1), "classes[0].name"},
		file{"a second class without a deadline", strings.Replace(completeFile, classText, classText+`,{"name":"b","objective":1,"effect":"read_like"}`, 1), "classes[1].deadline"},
		file{"a second class without an objective", strings.Replace(completeFile, classText, classText+`,{"name":"b","deadline":1,"effect":"read_like"}`, 1), "classes[1].objective"},
		file{"an unknown effect", strings.Replace(completeFile, "read_like", "perhaps", 1), "effect"},
		file{"no address", strings.Replace(completeFile, "127.2.0.1:8500", "nowhere", 1), "discovery"})
	for _, f := range files {
		c, next, _, err := reload(t, completeFile, strings.Replace(f.text, "127.2.0.1:8500", "127.2.0.9:8500", 1))
		if err == nil || !strings.Contains(err.Error(), f.key) {
			t.Errorf("%s: error %v, want one with %q", f.name, err, f.key)
		}
		if next.Discovery != c.Discovery || len(next.Settings.Classes) != 1 || next.Settings.Limits != c.Settings.Limits {
			t.Errorf("%s: partly applied: %+v", f.name, next)
		}
	}
}

// A node can serve with any file that is accepted.
func FuzzReload(f *testing.F) {
	for _, text := range []string{completeFile, validFile, "", "{}", completeFile[:100], strings.Replace(completeFile, "1.8", "1e300", 1), strings.Replace(completeFile, "6}", "-1}", 1)} {
		f.Add([]byte(text))
	}
	first, err := parse([]byte(completeFile), func(string) string { return "" })
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := parse(text, func(string) string { return "" })
		if err != nil {
			return
		}
		if missingKey(first.fileKeys, c.fileKeys, "") == "" && (c.Discovery == "" || len(c.Settings.Classes) == 0 || c.Settings.Limits.MaxAttempts < 1) {
			t.Errorf("%q: accepted as %+v", text, c)
		}
		for _, class := range c.Settings.Classes {
			if class.Deadline <= 0 || class.Name == "" {
				t.Errorf("%q: accepted with class %+v", text, class)
			}
		}
	})
}
