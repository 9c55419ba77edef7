package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/alecthomas/kong"

	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/fleet/logentry"
	"coralrelay/internal/keyfile"
)

// recorder is an agent whose record is in memory.
type fakeAgent struct {
	mu       sync.Mutex
	logState *logentry.State
}

func (r *fakeAgent) HandleReport(agentapi.Report) (told agentapi.Response) { return told }

func (r *fakeAgent) HandleOperator(_ context.Context, ask agentapi.OperatorRequest) (any, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ask.Method == "record" {
		return r.logState, nil
	}
	next, outcome := r.logState.Apply(ask.Entry)
	if ask.Method == "propose" {
		r.logState = next
	}
	return map[string]any{"outcome": outcome}, nil
}

func TestAccountAndRouteCommandsChangeTheState(t *testing.T) {
	dir := t.TempDir()
	_, root, err := keyfile.CreateAuthority(dir, "root")
	if err != nil {
		t.Fatal(err)
	}
	_, team, err := keyfile.CreateAuthority(dir, "team")
	if err != nil {
		t.Fatal(err)
	}
	r := &fakeAgent{}
	if r.logState, err = logentry.NewState(logentry.Genesis{RootKey: root}); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error)
	go func() { served <- agentapi.Serve(t.Context(), l, r) }()
	t.Cleanup(func() {
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	ops := filepath.Join(dir, "ops.json")
	if err := os.WriteFile(ops, []byte(`[{"do":"no-route","path":"acme/web","name":"all"},{"do":"drop","path":"acme/web"}]`), 0o600); err != nil {
		t.Fatal(err)
	}
	public := base64.StdEncoding.EncodeToString(team)
	for _, tt := range []struct {
		words string // after the command: the key, and what is refused, if anything
		key   string
		why   string
	}{
		{"account found acme --open=100 --rate=50 --retries=5 --probes=5 --routes=10 --teams=2 --zones=a,b", "root", ""},
		{"account team acme/web --open=60 --rate=50 --routes=5 --zones=c", "root", `"c" is none of the zones that "acme" has`},
		{"account team acme/web --open=60 --rate=50 --routes=5 --zones=b", "root", ""},
		{"account grant acme/web " + public + " --acts=routes,contracts", "root", ""},
		{"route put acme/web all --part=b=100 --returned=false --rate=20", "team", ""},
		{"route put acme/web all --part=b=100 --rate=51 --dry-run", "team", `would be refused: accounts: "acme/web": its teams and routes would hold rate 51, at most 50`},
		{"route put acme/web all --part=b", "team", "want ZONE=PERCENT"},
		{"account limits acme --rate=20", "root", "hold rate 50, at most 20"},
		{"account limits acme --rate=20 --shrink=proportion --dry-run", "root", ""},
		{"account limits acme --rate=20 --shrink=proportion", "root", ""},
		{"account limits acme/web --rate=1", "team", `has no grant of limits on "acme"`},
		{"account drop acme/web", "root", `has route "acme/web:all"`},
		{"account apply " + ops, "team", `operation 2, "drop" on "acme/web"`},
		{"account apply " + ops + " --dry-run", "root", ""},
	} {
		var c struct {
			Account accountCmd `cmd:""`
			Route   routeCmd   `cmd:""`
		}
		p, err := kong.New(&c)
		if err != nil {
			t.Fatal(err)
		}
		k, err := p.Parse(append(strings.Fields(tt.words), "--agent", l.Addr().String(), "--key", filepath.Join(dir, tt.key), "--why", "a test"))
		if err == nil {
			err = k.Run()
		}
		if tt.why == "" && err != nil || tt.why != "" && (err == nil || !strings.Contains(err.Error(), tt.why)) {
			t.Errorf("%s: %v, want %q", tt.words, err, tt.why)
		}
	}
	_, s, err := (&agentFlags{Agent: l.Addr().String()}).fetchAccounts()
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := printAccounts(&out, s); err != nil {
		t.Fatal(err)
	}
	if err := printRoutes(&out, s, "acme"); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"acme/web  60    20    0        0       5       0      1           b      -        -",
		"acme/web  routes,contracts  0",
		"acme/web:all  returned false  b 100%   -     20    -        -       -",
	} {
		if !strings.Contains(out.String(), want) {
			raw, _ := json.Marshal(s)
			t.Errorf("no %q in\n%s%s", want, out.String(), raw)
		}
	}
}
