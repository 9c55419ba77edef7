package operatorconfig

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

func TestErrorNamesKey(t *testing.T) {
	f, err := Parse([]byte(`{"resume":{"life":"90s"}}`))
	if err != nil || f.Resume.TokenTTL.Seconds() != 90 || f.Resume.Enabled || f.Log.Level != "info" {
		t.Errorf("%+v, %v", f, err)
	}
	for text, key := range map[string]string{
		`{"log":{"level":"loud"}}`:                              "log.level",
		`{"resume":{"enabled":true}}`:                           "resume.keys",
		`{"resume":{"life":"1ms"}}`:                             "resume.life",
		`{"resume":{"life":3}}`:                                 "resume.life",
		`{"resume":{"ledger":{"records":0}}}`:                   "resume.ledger.records",
		`{"resume":{"ledger":{"listen":"x"}}}`:                  "resume.ledger.listen",
		`{"resume":{"ledger":{"peers":{"n 2":"127.0.0.1:1"}}}}`: "resume.ledger.peers.n 2",
		`{"resume":{"lif":"3s"}}`:                               "lif",
		`{} {}`:                                                 "record",
		`{`:                                                     "EOF",
	} {
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: %v, want an error that names %s", text, err, key)
		}
	}
}

// If coralctl is not in the node's directory, the error must name it.
func TestCUEFileWithoutCoralctlIsError(t *testing.T) {
	path := filepath.Join(t.TempDir(), "own.cue")
	if err := os.WriteFile(path, []byte("log: {}"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(path); err == nil || !strings.Contains(err.Error(), "coralctl") {
		t.Errorf("%v", err)
	}
}

func TestNamesKeysThatNeedRestart(t *testing.T) {
	a, b := Default(), Default()
	b.Log.Level, b.Resume.TokenTTL.Duration = "debug", 1
	if keys := a.ChangedRestartKeys(&b); keys != nil {
		t.Errorf("keys that can be changed while running need a restart: %q", keys)
	}
	b.Log.Format, b.Resume.ReplayGuard.Dir = "json", "x"
	if keys := a.ChangedRestartKeys(&b); !slices.Equal(keys, []string{"log.format", "resume.ledger"}) {
		t.Errorf("%q", keys)
	}
}
