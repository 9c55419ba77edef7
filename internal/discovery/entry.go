// Package roster follows discovery's list of next hops.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"time"

	"coralrelay/balance"
)

// Entry is one next hop and where it is.
type Endpoint struct {
	balance.ServerEntry
	Addr string
}

// Update is one message of discovery.
type Update struct {
	Kind       balance.ListKind
	Generation int64
	Endpoints  []Endpoint
}

// List returns the update as the module takes it.
func (u Update) ListUpdate() balance.ListUpdate {
	l := balance.ListUpdate{Kind: u.Kind}
	for _, e := range u.Endpoints {
		l.Entries = append(l.Entries, e.ServerEntry)
	}
	return l
}

// message is discovery's form of a list or a change.
type message struct {
	Generation *int64            `json:"generation"`
	Reset      bool              `json:"reset"`
	Instances  []json.RawMessage `json:"instances"`
}

type instance struct {
	ID        string `json:"instanceId"`
	HostPort  string `json:"hostPort"`
	Zone      string `json:"zone"`
	Cell      int    `json:"cell"`
	Lifecycle string `json:"lifecycle"`
	StartedMs int64  `json:"startedAtMs"`
}

var lifecycles = map[string]balance.ServerState{
	"active": balance.Ready, "leaving": balance.Draining, "left": balance.Gone,
}

// Decode reads a message. Malformed entries are skipped and logged: one of them
// must not cost the rest of the list.
func Decode(raw []byte) (Update, error) {
	var m message
	if err := json.Unmarshal(raw, &m); err != nil {
		return Update{}, fmt.Errorf("list: %w", err)
	}
	return m.update()
}

func (m *message) update() (Update, error) {
	if m.Generation == nil {
		return Update{}, errors.New("list: generation is missing")
	}
	if m.Reset && m.Instances == nil {
		return Update{}, errors.New("list: instances is missing") // not the same as none
	}
	u := Update{Kind: balance.ListDelta, Generation: *m.Generation}
	if m.Reset {
		u.Kind = balance.ListFull
	}
	for _, raw := range m.Instances {
		e, err := entry(raw)
		if err != nil {
			slog.Warn("roster entry skipped", "err", err)
			continue
		}
		u.Endpoints = append(u.Endpoints, e)
	}
	return u, nil
}

func entry(raw json.RawMessage) (Endpoint, error) {
	var i instance
	wrong := json.Unmarshal(raw, &i)
	state, ok := lifecycles[i.Lifecycle]
	switch {
	case wrong != nil && (!ok || state == balance.Ready): // of one that leaves the rest tells nothing
		return Endpoint{}, fmt.Errorf("entry %.80q: %w", raw, wrong)
	case !ok || i.ID == "":
		return Endpoint{}, fmt.Errorf("entry %.80q: unknown lifecycle or no instanceId", raw)
	}
	if _, _, err := net.SplitHostPort(i.HostPort); err != nil {
		if state == balance.Ready {
			return Endpoint{}, fmt.Errorf("entry %s: hostPort: %w", i.ID, err)
		}
		i.HostPort = "" // it stays at the address that is known
	}
	return Endpoint{Addr: i.HostPort, ServerEntry: balance.ServerEntry{ID: i.ID, Zone: i.Zone, Cell: i.Cell,
		State: state, StartedAt: time.Duration(i.StartedMs) * time.Millisecond}}, nil
}
