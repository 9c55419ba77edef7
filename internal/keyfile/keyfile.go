package keyfile

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"path/filepath"
	"strconv"
	"time"

	"coralrelay/internal/resumetoken"
)

const (
	keySuffix = ".key"
	keyHeader = "coralrelay-resume-key-1"
	// maxKeys is the maximum number of resume keys in a directory. It is limited because the
	// key of each token is found by a linear search.
	maxKeys = 64

	idField        = "id"
	signsFromField = "signs-from" // RFC 3339
	secretField    = "secret"     // hexadecimal digits
)

// Create generates a resume key that signs from signingStartsAt on, writes it to a new file in
// dir, and returns the file's path and the key's id.
func Create(dir string, signingStartsAt time.Time) (path string, id resumetoken.KeyID, err error) {
	var random [4 + resumetoken.SecretSize]byte
	if _, err := rand.Read(random[:]); err != nil {
		return "", 0, err
	}
	id = resumetoken.KeyID(binary.BigEndian.Uint32(random[:]))
	path, err = createFile(dir, id.String()+keySuffix, keyHeader,
		field{idField, id.String()},
		field{signsFromField, signingStartsAt.UTC().Format(time.RFC3339)},
		field{secretField, hex.EncodeToString(random[4:])})
	return path, id, err
}

// HasKeys reports whether dir contains a resume key file.
func HasKeys(dir string) bool {
	paths, err := keyFiles(dir)
	return err == nil && len(paths) > 0
}

// Load reads the resume keys in dir. It is an error if there are none, if there are more than
// maxKeys, or if a file with the suffix .key is not a valid resume key.
func Load(dir string) (*resumetoken.KeyRing, error) {
	paths, err := keyFiles(dir)
	switch {
	case err != nil:
		return nil, err
	case len(paths) == 0:
		return nil, fmt.Errorf("%s: no *%s file; create one with 'coralctl key new'", dir, keySuffix)
	case len(paths) > maxKeys:
		return nil, fmt.Errorf("%s: %d keys, want at most %d; remove keys whose tokens have expired",
			dir, len(paths), maxKeys)
	}
	var keys []*resumetoken.Key
	for _, path := range paths {
		key, err := readKey(path)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		keys = append(keys, key)
	}
	return resumetoken.NewKeyRing(keys...)
}

func keyFiles(dir string) ([]string, error) { return filepath.Glob(filepath.Join(dir, "*"+keySuffix)) }

func readKey(path string) (*resumetoken.Key, error) {
	values, err := readFields(path, keyHeader, idField, signsFromField, secretField)
	if err != nil {
		return nil, err
	}
	id, err := strconv.ParseUint(values[0], 16, 32)
	if err != nil {
		return nil, fmt.Errorf("id: %w", err)
	}
	signingStartsAt, err := time.Parse(time.RFC3339, values[1])
	if err != nil {
		return nil, fmt.Errorf("signs-from: %w", err)
	}
	secret, err := hex.DecodeString(values[2])
	if err != nil {
		// err is not wrapped, because its text can quote the secret.
		return nil, errors.New("secret: not hexadecimal")
	}
	return resumetoken.NewKey(resumetoken.KeyID(id), signingStartsAt, secret)
}
