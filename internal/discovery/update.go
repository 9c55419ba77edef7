package discovery

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"time"

	"coralrelay/balance"
)

// Endpoint is one entry of the endpoint list, with its address.
type Endpoint struct {
	balance.ServerEntry
	Addr string // HOST:PORT; empty in a change that leaves the known address
}

// Update is one message of the discovery service: a complete list or changes to it.
type Update struct {
	Kind       balance.ListKind
	Generation int64 // of the list after this update
	Endpoints  []Endpoint
	IsBusy     bool // of a failure: the service had no time for the call
}

// ListUpdate returns the update as the decision module takes it.
func (u Update) ListUpdate() balance.ListUpdate {
	list := balance.ListUpdate{Kind: u.Kind, IsBusy: u.IsBusy}
	for _, endpoint := range u.Endpoints {
		list.Entries = append(list.Entries, endpoint.ServerEntry)
	}
	return list
}

// message is the JSON form of an update. Reset marks a complete list.
type message struct {
	Generation *int64            `json:"generation"`
	Reset      bool              `json:"reset"`
	Instances  []json.RawMessage `json:"instances"`
}

// messageError is why a message that is well-formed JSON can't be used.
type messageError struct{ reason string }

func (e *messageError) Error() string { return "list: " + e.reason }

// instance is the JSON form of an endpoint.
type instance struct {
	ID          string `json:"instanceId"`
	HostPort    string `json:"hostPort"`
	Zone        string `json:"zone"`
	Cell        int    `json:"cell"`
	Lifecycle   string `json:"lifecycle"`
	StartedAtMs int64  `json:"startedAtMs"`
}

var lifecycleStates = map[string]balance.ServerState{
	"active":  balance.Ready,
	"leaving": balance.Draining,
	"left":    balance.Gone,
}

// Decode reads a message. It fails if the message as a whole is malformed; malformed entries are
// skipped and logged, as one of them must not cost the rest of the list.
func Decode(raw []byte) (Update, error) {
	var decoded message
	if err := json.Unmarshal(raw, &decoded); err != nil {
		return Update{}, fmt.Errorf("list: %w", err)
	}
	return decoded.update()
}

// update converts the message; see Decode.
func (m *message) update() (Update, error) {
	if m.Generation == nil {
		return Update{}, &messageError{"generation is missing"}
	}
	if m.Reset && m.Instances == nil {
		return Update{}, &messageError{"instances is missing"} // not the same as an empty list
	}
	update := Update{Kind: balance.ListDelta, Generation: *m.Generation}
	if m.Reset {
		update.Kind = balance.ListFull
	}
	for _, raw := range m.Instances {
		endpoint, err := decodeEndpoint(raw)
		if err != nil {
			slog.Warn("endpoint list entry skipped", "component", "discovery", "error", err)
			continue
		}
		update.Endpoints = append(update.Endpoints, endpoint)
	}
	return update, nil
}

// decodeEndpoint reads an entry. Of an endpoint that drains or is gone only the id is needed: the
// rest may be malformed.
func decodeEndpoint(raw json.RawMessage) (Endpoint, error) {
	var decoded instance
	decodeErr := json.Unmarshal(raw, &decoded)
	state, ok := lifecycleStates[decoded.Lifecycle]
	switch {
	case decodeErr != nil && (!ok || state == balance.Ready):
		return Endpoint{}, fmt.Errorf("entry %.80q: %w", raw, decodeErr)
	case !ok || decoded.ID == "":
		return Endpoint{}, fmt.Errorf("entry %.80q: unknown lifecycle or no instanceId", raw)
	}
	if _, _, err := net.SplitHostPort(decoded.HostPort); err != nil {
		if state == balance.Ready {
			return Endpoint{}, fmt.Errorf("entry %s: hostPort: %w", decoded.ID, err)
		}
		decoded.HostPort = "" // the known address stays
	}
	return Endpoint{
		Addr: decoded.HostPort,
		ServerEntry: balance.ServerEntry{
			ID:        decoded.ID,
			Zone:      decoded.Zone,
			Cell:      decoded.Cell,
			State:     state,
			StartedAt: time.Duration(decoded.StartedAtMs) * time.Millisecond,
		},
	}, nil
}
