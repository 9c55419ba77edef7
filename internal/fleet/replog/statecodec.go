package replog

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"

	"coralrelay/internal/fleet/logentry"
)

// encodeState returns the encoding of a state in snapshots, in the state file and in messages:
// the SHA-256 of the state's JSON, followed by the JSON.
func encodeState(state *logentry.State) ([]byte, error) {
	text, err := json.Marshal(state)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(text)
	return append(sum[:], text...), nil
}

// decodeState decodes a state and verifies its checksum. AttachGenesis must accept the state
// before it is used.
func decodeState(encoded []byte) (*logentry.State, error) {
	if len(encoded) < sha256.Size || len(encoded) > maxStateSize {
		return nil, fmt.Errorf("state: %d bytes", len(encoded))
	}
	if sum := sha256.Sum256(encoded[sha256.Size:]); !bytes.Equal(sum[:], encoded[:sha256.Size]) {
		return nil, errors.New("state: checksum mismatch")
	}
	state := &logentry.State{}
	if err := logentry.UnmarshalStrict(encoded[sha256.Size:], state); err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	return state, nil
}
