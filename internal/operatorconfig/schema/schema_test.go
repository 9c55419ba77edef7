package schema

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"coralrelay/internal/operatorconfig"
)

// The defaults of the schema must equal those of the node. The example file in deploy must state all
// of them.
func TestDefaultsAgreeWithNode(t *testing.T) {
	example, err := os.ReadFile("../../../deploy/operator.cue")
	if err != nil {
		t.Fatal(err)
	}
	for name, src := range map[string][]byte{"empty": nil, "example": example} {
		raw, err := Export(name, src)
		if err != nil {
			t.Fatal(err)
		}
		got, err := operatorconfig.Parse(raw)
		if err != nil {
			t.Fatal(err)
		}
		a, _ := json.Marshal(got)
		want := operatorconfig.Default()
		want.Resume.ReplayGuard.Peers = got.Resume.ReplayGuard.Peers // an empty map and nil are equivalent
		if b, _ := json.Marshal(want); string(a) != string(b) || len(got.Resume.ReplayGuard.Peers) > 0 {
			t.Errorf("%s: %s\nwant %s", name, a, b)
		}
	}
}

// An error must state the file, line and key, the value found and the values allowed.
func TestErrorNamesPlaceKeyAndAllowedValues(t *testing.T) {
	for src, want := range map[string]string{
		"log: level: \"loud\"":                          "own.cue:1: log.level: found \"loud\", allowed is \"debug\"",
		"resume: {\n\tlif: \"3s\"\n}":                   "own.cue:2: resume.lif: no such key; allowed here: enabled, keys",
		"resume: life: \"3 days\"":                      "own.cue:1: resume.life: found \"3 days\", allowed is",
		"resume: life: \"1ms\"":                         "own.cue:1: resume.life: found \"1ms\", allowed is 1s to 24h",
		"\nresume: ledger: records: 0":                  "own.cue:2: resume.ledger.records: found 0, allowed is int",
		"resume: enabled: true":                         "resume.keys: found nothing, allowed is",
		"resume: {":                                     "own.cue:1: expected '}'",
		"resume: enabled: true\nresume: enabled: false": "resume.enabled",
		"resume: ledger: peers: n2: \"nowhere\"":        "resume.ledger.peers.n2",
	} {
		if _, err := Export("own.cue", []byte(src)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s\nerror %v\nwant  %s", src, err, want)
		}
	}
}

func TestListsKeysBelowPrefix(t *testing.T) {
	keys, err := Keys("resume.ledger")
	if err != nil || len(keys) != 4 || keys[0].About == "" {
		t.Errorf("%v, %v", keys, err)
	}
	if _, err := Keys("nothing"); err == nil {
		t.Error("Keys accepted a prefix that no key has")
	}
}
