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
	list := balance.ListUpdate{Kind: u.Kind}
	for _, endpoint := range u.Endpoints {
		list.Entries = append(list.Entries, endpoint.ServerEntry)
	}
	return list
}

// message is discovery's form of a list or a change.
type message struct {
	Generation *int64            `json:"generation"`
	Reset      bool              `json:"reset"`
	Instances  []json.RawMessage `json:"instances"`
}

type instance struct {
	ID          string `json:"instanceId"`
	HostPort    string `json:"hostPort"`
	Zone        string `json:"zone"`
	Cell        int    `json:"cell"`
	Lifecycle   string `json:"lifecycle"`
	StartedAtMs int64  `json:"startedAtMs"`
}

var lifecycleStates = map[string]balance.ServerState{
	"active": balance.Ready, "leaving": balance.Draining, "left": balance.Gone,
}

// Decode reads a message. Malformed entries are skipped and logged: one of them
// must not cost the rest of the list.
func Decode(raw []byte) (Update, error) {
	var decoded message
	if err := json.Unmarshal(raw, &decoded); err != nil {
		return Update{}, fmt.Errorf("list: %w", err)
	}
	return decoded.update()
}

func (m *message) update() (Update, error) {
	if m.Generation == nil {
		return Update{}, errors.New("list: generation is missing")
	}
	if m.Reset && m.Instances == nil {
		return Update{}, errors.New("list: instances is missing") // not the same as none
	}
	update := Update{Kind: balance.ListDelta, Generation: *m.Generation}
	if m.Reset {
		update.Kind = balance.ListFull
	}
	for _, raw := range m.Instances {
		endpoint, err := decodeEndpoint(raw)
		if err != nil {
			slog.Warn("roster entry skipped", "err", err)
			continue
		}
		update.Endpoints = append(update.Endpoints, endpoint)
	}
	return update, nil
}

func decodeEndpoint(raw json.RawMessage) (Endpoint, error) {
	var decoded instance
	decodeErr := json.Unmarshal(raw, &decoded)
	state, ok := lifecycleStates[decoded.Lifecycle]
	switch {
	case decodeErr != nil && (!ok || state == balance.Ready): // of one that leaves the rest tells nothing
		return Endpoint{}, fmt.Errorf("entry %.80q: %w", raw, decodeErr)
	case !ok || decoded.ID == "":
		return Endpoint{}, fmt.Errorf("entry %.80q: unknown lifecycle or no instanceId", raw)
	}
	if _, _, err := net.SplitHostPort(decoded.HostPort); err != nil {
		if state == balance.Ready {
			return Endpoint{}, fmt.Errorf("entry %s: hostPort: %w", decoded.ID, err)
		}
		decoded.HostPort = "" // it stays at the address that is known
	}
	return Endpoint{Addr: decoded.HostPort, ServerEntry: balance.ServerEntry{ID: decoded.ID, Zone: decoded.Zone, Cell: decoded.Cell,
		State: state, StartedAt: time.Duration(decoded.StartedAtMs) * time.Millisecond}}, nil
}
