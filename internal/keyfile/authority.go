package keyfile

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
)

const authorityHeader = "coralrelay-authority-key-1"

// NewAuthority writes a fresh Ed25519 key that signs changes of accounts into a file of that
// name, which must not exist, and returns its path and public key. Folders of resume keys
// are another place: every file *.key there is read as one.
func CreateAuthority(folder, name string) (path string, public ed25519.PublicKey, err error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return "", nil, err
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return "", nil, err
	}
	path = filepath.Join(folder, name)
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
	if err != nil {
		return "", nil, err
	}
	_, err = fmt.Fprintf(file, "%s\nkind ed25519\npublic %s\nsecret %s\n", authorityHeader,
		base64.StdEncoding.EncodeToString(public), hex.EncodeToString(private.Seed()))
	return path, public, errors.Join(err, file.Sync(), file.Close())
}

// LoadAuthority reads a key that signs changes of accounts. Errors name the file and never
// tell the secret.
func LoadAuthority(path string) (ed25519.PrivateKey, error) {
	values, err := readFields(path, authorityHeader, "kind", "public", "secret")
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	seed, err := hex.DecodeString(values[2])
	switch {
	case values[0] != "ed25519":
		return nil, fmt.Errorf("%s: kind %.20q: want ed25519", path, values[0])
	case err != nil || len(seed) != ed25519.SeedSize:
		return nil, fmt.Errorf("%s: secret: want %d hexadecimal digits", path, 2*ed25519.SeedSize)
	}
	private := ed25519.NewKeyFromSeed(seed)
	if base64.StdEncoding.EncodeToString(private[ed25519.SeedSize:]) != values[1] {
		return nil, fmt.Errorf("%s: public: is not of this secret", path)
	}
	return private, nil
}

// fields reads a file of a head line and lines of a name and a value each, in that order,
// which nobody else may read.
func readFields(path, header string, names ...string) ([]string, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	info, err := file.Stat()
	switch {
	case err != nil:
		return nil, err
	case info.Mode().Perm()&0o077 != 0:
		return nil, fmt.Errorf("mode is %04o, others may read it; want %04o", info.Mode().Perm(), fileMode)
	case info.Size() > maxFileSize:
		return nil, fmt.Errorf("%d bytes is no key", info.Size())
	}
	text, err := io.ReadAll(io.LimitReader(file, maxFileSize))
	if err != nil {
		return nil, err
	}
	lines := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	if len(lines) != len(names)+1 || lines[0] != header {
		return nil, fmt.Errorf("want %d lines, the first %q", len(names)+1, header)
	}
	values := make([]string, len(names))
	for i, name := range names {
		value, ok := strings.CutPrefix(lines[i+1], name+" ")
		if !ok {
			return nil, fmt.Errorf("line %d: want %s", i+2, name)
		}
		values[i] = value
	}
	return values, nil
}
