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

// CreateAuthority generates an Ed25519 key that signs changes to accounts, writes it to a new
// file in dir, and returns the file's path and the public key. It is an error if the file
// exists. dir must not be a directory of resume keys, because Load reads every file with the
// suffix .key there as a resume key.
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

// LoadAuthority reads an authority key. It is an error if the file's public key does not belong
// to its secret.
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
		return nil, fmt.Errorf("%s: public: does not match the secret", path)
	}
	return private, nil
}
