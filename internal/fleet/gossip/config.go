package gossip

import (
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/hashicorp/memberlist"
)

// Config is how a member meets the others.
type Config struct {
	BindAddress      string        // IP:PORT to listen on, TCP and UDP
	AdvertiseAddress string        // IP:PORT where the others reach it; empty for BindAddress
	Peers            []string      // advertised addresses of some other members
	KeyFile          string        // the encryption key, the same at all members; see ReadKey
	Unencrypted      bool          // without a key, for a mutation only
	Interval         time.Duration // between two rounds of gossip
	LogOutput        io.Writer     // of memberlist's own log
}

// ReadKey reads the encryption key from a file of 32, 48 or 64 hexadecimal digits.
func ReadKey(path string) ([]byte, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	key, err := hex.DecodeString(strings.TrimSpace(string(raw)))
	if err != nil || memberlist.ValidateKey(key) != nil {
		return nil, fmt.Errorf("%s: 32, 48 or 64 hexadecimal digits are wanted", path)
	}
	return key, nil
}
