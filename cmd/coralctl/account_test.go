package main

import (
	"bytes"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"coralrelay/internal/keyfile"
)

// operator runs commands against one agent, with signing keys from one directory.
type operator struct {
	agent string // address, HOST:PORT
	dir   string // holds the key files
}

// createKey creates a signing key in dir and returns its public key.
func createKey(t *testing.T, dir, name string) ed25519.PublicKey {
	t.Helper()
	_, publicKey, err := keyfile.CreateAuthority(dir, name)
	if err != nil {
		t.Fatal(err)
	}
	return publicKey
}

// run parses and runs a command; key is the name of the file with the signing key.
func (o *operator) run(t *testing.T, command, key string) error {
	t.Helper()
	var commands struct {
		Account accountCmd `cmd:""`
		Route   routeCmd   `cmd:""`
	}
	parser, err := kong.New(&commands)
	if err != nil {
		t.Fatal(err)
	}
	args := append(strings.Fields(command),
		"--agent", o.agent, "--key", filepath.Join(o.dir, key), "--why", "a test")
	parsed, err := parser.Parse(args)
	if err != nil {
		return err
	}
	return parsed.Run()
}

func TestAccountAndRouteCommandsChangeTheState(t *testing.T) {
	dir := t.TempDir()
	rootKey, teamKey := createKey(t, dir, "root"), createKey(t, dir, "team")
	operator := &operator{agent: startFakeAgent(t, rootKey), dir: dir}
	opsFile := filepath.Join(dir, "ops.json")
	ops := `[{"do":"no-route","path":"acme/web","name":"all"},{"do":"drop","path":"acme/web"}]`
	if err := os.WriteFile(opsFile, []byte(ops), 0o600); err != nil {
		t.Fatal(err)
	}
	public := base64.StdEncoding.EncodeToString(teamKey)
	for _, step := range []struct {
		command   string
		key       string
		wantError string // substring of the error; "" if the command succeeds
	}{
		{"account found acme --open=100 --rate=50 --retries=5 --probes=5 --routes=10 --teams=2 --zones=a,b", "root", ""},
		{"account team acme/web --open=60 --rate=50 --routes=5 --zones=c", "root",
			`"c" is none of the zones that "acme" has`},
		{"account team acme/web --open=60 --rate=50 --routes=5 --zones=b", "root", ""},
		{"account grant acme/web " + public + " --acts=routes,contracts", "root", ""},
		{"route put acme/web all --part=b=100 --returned=false --rate=20", "team", ""},
		{"route put acme/web all --part=b=100 --rate=51 --dry-run", "team",
			`would be refused: accounts: "acme/web": its teams and routes would hold rate 51, at most 50`},
		{"route put acme/web all --part=b", "team", "want ZONE=PERCENT"},
		{"account limits acme --rate=20", "root", "hold rate 50, at most 20"},
		{"account limits acme --rate=20 --shrink=proportion --dry-run", "root", ""},
		{"account limits acme --rate=20 --shrink=proportion", "root", ""},
		{"account limits acme/web --rate=1", "team", `has no grant of limits on "acme"`},
		{"account drop acme/web", "root", `has route "acme/web:all"`},
		{"account apply " + opsFile, "team", `operation 2, "drop" on "acme/web"`},
		{"account apply " + opsFile + " --dry-run", "root", ""},
	} {
		err := operator.run(t, step.command, step.key)
		if step.wantError == "" && err != nil ||
			step.wantError != "" && (err == nil || !strings.Contains(err.Error(), step.wantError)) {
			t.Errorf("%s: %v, want %q", step.command, err, step.wantError)
		}
	}
	operator.checkPrinted(t,
		"acme/web  60    20    0        0       5       0      1           b      -        -",
		"acme/web  routes,contracts  0",
		"acme/web:all  returned false  b 100%   -     20    -        -       -",
	)
}

// checkPrinted checks that the printed lists of accounts and of acme's routes contain wantLines.
func (o *operator) checkPrinted(t *testing.T, wantLines ...string) {
	t.Helper()
	accounts, err := fetchAccounts(o.agent)
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := printAccounts(&out, accounts); err != nil {
		t.Fatal(err)
	}
	if err := printRoutes(&out, accounts, "acme"); err != nil {
		t.Fatal(err)
	}
	for _, want := range wantLines {
		if !strings.Contains(out.String(), want) {
			raw, _ := json.Marshal(accounts)
			t.Errorf("no %q in\n%s%s", want, out.String(), raw)
		}
	}
}
