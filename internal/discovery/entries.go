package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/inputlimit"
)

// entryList is the list of entries in a message. It is decoded entry by entry, so that the memory for a
// message with many small entries is limited.
type entryList struct {
	max  int    // entries that are accepted
	peer string // sender of the message

	present   bool // the message has a list
	count     int  // entries, malformed ones included
	endpoints []Endpoint
	unused    malformedEntries // which are in endpoints as draining
	skipped   malformedEntries // which are not, as their ID cannot be read
}

// UnmarshalJSON decodes a list. Its error may be an *inputlimit.Error.
func (l *entryList) UnmarshalJSON(raw []byte) error {
	*l = entryList{max: l.max, peer: l.peer}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	token, err := decoder.Token()
	switch {
	case err != nil:
		return err
	case token == nil: // null
		return nil
	case token != json.Delim('['):
		return &messageError{"instances is not a list"}
	}
	l.present = true
	for decoder.More() {
		if l.count++; l.count > l.max {
			return inputlimit.Exceeded(inputlimit.DiscoveryEntries, l.peer, int64(l.count), int64(l.max))
		}
		var entry instance
		begin := decoder.InputOffset()
		err := decoder.Decode(&entry) // a type error: the whole message is valid JSON
		l.add(raw[begin:decoder.InputOffset()], &entry, err)
	}
	return nil
}

// add adds one entry, which raw has behind a separator. decodeErr tells that fields of it have the wrong
// type.
func (l *entryList) add(raw []byte, entry *instance, decodeErr error) {
	endpoint, err := entry.endpoint(decodeErr)
	if err == nil || endpoint.ID != "" {
		l.endpoints = append(l.endpoints, endpoint)
	}
	switch {
	case err == nil:
	case endpoint.ID != "":
		l.unused.add(raw, err)
	default:
		l.skipped.add(raw, err)
	}
}

// logMalformed logs the malformed entries, one line for each kind.
func (l *entryList) logMalformed() {
	l.unused.log("malformed endpoint list entry, endpoint not used")
	l.skipped.log("malformed endpoint list entry skipped")
}

// malformedEntries are the malformed entries of one kind in a message.
type malformedEntries struct {
	count int
	first error
}

func (m *malformedEntries) add(raw []byte, err error) {
	if m.count++; m.first == nil {
		m.first = fmt.Errorf("entry %.80q: %w", bytes.TrimLeft(raw, ", \t\r\n"), err)
	}
}

func (m *malformedEntries) log(text string) {
	if m.count > 0 {
		slog.Warn(text, "component", "discovery", "error", m.first, "entries", m.count)
	}
}

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

var (
	errNoID         = errors.New("unknown lifecycle or missing instanceId")
	errFieldTooLong = fmt.Errorf("field of over %d bytes", maxFieldBytes)
)

// endpoint converts an entry, of which decodeErr tells that fields have the wrong type. For an endpoint
// that is draining or gone only the ID is needed; the other fields may be malformed. If it fails, it also
// returns a draining endpoint, whose ID is empty if it could not be read.
func (i *instance) endpoint(decodeErr error) (Endpoint, error) {
	if len(i.ID) > maxFieldBytes {
		i.ID = ""
	}
	if len(i.HostPort) > maxFieldBytes || len(i.Zone) > maxFieldBytes {
		i.HostPort, i.Zone, decodeErr = "", "", errFieldTooLong
	}
	state, ok := lifecycleStates[i.Lifecycle]
	unreadable := Endpoint{ServerEntry: balance.ServerEntry{ID: i.ID, State: balance.Draining}}
	switch {
	case decodeErr != nil && (!ok || state == balance.Ready):
		return unreadable, decodeErr
	case !ok || i.ID == "":
		return unreadable, errNoID
	}
	if _, _, err := net.SplitHostPort(i.HostPort); err != nil {
		if state == balance.Ready {
			return unreadable, fmt.Errorf("hostPort: %w", err)
		}
		i.HostPort = "" // keeps the known address
	}
	return Endpoint{
		Addr: i.HostPort,
		ServerEntry: balance.ServerEntry{
			ID:        i.ID,
			Zone:      i.Zone,
			Cell:      i.Cell,
			State:     state,
			StartedAt: time.Duration(i.StartedAtMs) * time.Millisecond,
		},
	}, nil
}
