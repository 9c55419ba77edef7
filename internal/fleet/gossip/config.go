package gossip

import (
	"encoding/hex"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/hashicorp/memberlist"

	"coralrelay/internal/inputlimit"
)

// Config configures the transport of a member, and how it joins the other members.
type Config struct {
	BindAddress      string        // IP:PORT to listen on, TCP and UDP
	AdvertiseAddress string        // IP:PORT at which other members reach this one; BindAddress if empty
	Peers            []string      // advertised addresses of other members, to join through
	KeyFile          string        // file with the encryption key, which all members share; see ReadKey
	Unencrypted      bool          // gossip without a key; set only by a mutation test
	Interval         time.Duration // between two gossip rounds
	LogOutput        io.Writer     // receives memberlist's own log
}

// maxKeyFileBytes is the size of the largest key file that is read.
const maxKeyFileBytes = 4096

// ReadKey reads the encryption key from a file that holds 32, 48 or 64 hexadecimal digits.
func ReadKey(path string) ([]byte, error) {
	raw, err := inputlimit.ReadFile(path, maxKeyFileBytes)
	if err != nil {
		return nil, err
	}
	key, err := hex.DecodeString(strings.TrimSpace(string(raw)))
	if err != nil || memberlist.ValidateKey(key) != nil {
		return nil, fmt.Errorf("%s: want a key of 32, 48 or 64 hexadecimal digits", path)
	}
	return key, nil
}
