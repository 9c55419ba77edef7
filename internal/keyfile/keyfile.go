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
	// maxKeys is how many keys a directory may have: each token's is looked for in turn.
	maxKeys = 64

	idField        = "id"
	signsFromField = "signs-from" // RFC 3339
	secretField    = "secret"     // hexadecimal digits
)

// Create writes a new resume key, which signs from signingStartsAt on, into the directory, and
// returns its file and id.
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

// HasKeys reports whether the directory has a resume key.
func HasKeys(dir string) bool {
	paths, err := keyFiles(dir)
	return err == nil && len(paths) > 0
}

// Load reads a directory's resume keys. It is an error if there is none, or a file *.key that
// can't be read as one.
func Load(dir string) (*resumetoken.KeyRing, error) {
	paths, err := keyFiles(dir)
	switch {
	case err != nil:
		return nil, err
	case len(paths) == 0:
		return nil, fmt.Errorf("%s: no file *%s; make one with 'coralctl key new'", dir, keySuffix)
	case len(paths) > maxKeys:
		return nil, fmt.Errorf("%s: %d keys, at most %d are read; remove those whose tokens have expired",
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
		return nil, errors.New("secret: not hexadecimal") // the text itself stays out of the log
	}
	return resumetoken.NewKey(resumetoken.KeyID(id), signingStartsAt, secret)
}
