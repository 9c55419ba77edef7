package keyfile

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"fmt"
)

const (
	authorityHeader = "coralrelay-authority-key-1"
	authorityKind   = "ed25519"

	kindField   = "kind"
	publicField = "public"
)

// CreateAuthority writes a new Ed25519 key, which signs changes of accounts, into a file of
// that name, which must not exist, and returns its path and public key. The directory must
// not be that of resume keys: every file *.key there is read as one.
func CreateAuthority(dir, name string) (path string, public ed25519.PublicKey, err error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return "", nil, err
	}
	path, err = createFile(dir, name, authorityHeader,
		field{kindField, authorityKind},
		field{publicField, base64.StdEncoding.EncodeToString(public)},
		field{secretField, hex.EncodeToString(private.Seed())})
	return path, public, err
}

// LoadAuthority reads a key that signs changes of accounts.
func LoadAuthority(path string) (ed25519.PrivateKey, error) {
	values, err := readFields(path, authorityHeader, kindField, publicField, secretField)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	kind, public := values[0], values[1]
	seed, err := hex.DecodeString(values[2])
	switch {
	case kind != authorityKind:
		return nil, fmt.Errorf("%s: kind %.20q: want %s", path, kind, authorityKind)
	case err != nil || len(seed) != ed25519.SeedSize:
		return nil, fmt.Errorf("%s: secret: want %d hexadecimal digits", path, 2*ed25519.SeedSize)
	}
	private := ed25519.NewKeyFromSeed(seed)
	if base64.StdEncoding.EncodeToString(private[ed25519.SeedSize:]) != public {
		return nil, fmt.Errorf("%s: public: is not of this secret", path)
	}
	return private, nil
}
