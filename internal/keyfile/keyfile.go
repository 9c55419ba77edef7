// Package keyfile keeps an installation's resume keys, one in each file of a
// folder.
package keyfile

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"coralrelay/internal/resumetoken"
)

const (
	keySuffix = ".key"
	keyHeader = "coralrelay-resume-key-1"
	fileMode  = 0o600
	// largest bounds what is read of a key file.
	maxFileSize = 4096
	// most keys are read of a folder: each is tried by id, and a ring is small.
	maxKeys = 64
)

// New writes a fresh key into the folder, which signs from the given time on, and
// returns its file.
func Create(folder string, signsFrom time.Time) (path string, id resumetoken.KeyID, err error) {
	var random [4 + resumetoken.SecretSize]byte
	if _, err := rand.Read(random[:]); err != nil {
		return "", 0, err
	}
	id = resumetoken.KeyID(binary.BigEndian.Uint32(random[:]))
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return "", 0, err
	}
	path = filepath.Join(folder, id.String()+keySuffix)
	text := fmt.Sprintf("%s\nid %v\nsigns-from %s\nsecret %s\n", keyHeader, id, signsFrom.UTC().Format(time.RFC3339),
		hex.EncodeToString(random[4:]))
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
	if err != nil {
		return "", 0, err
	}
	_, err = file.WriteString(text)
	return path, id, errors.Join(err, file.Sync(), file.Close())
}

func keyFiles(folder string) ([]string, error) {
	return filepath.Glob(filepath.Join(folder, "*"+keySuffix))
}

// Has tells whether the folder has a key.
func HasKeys(folder string) bool {
	paths, err := keyFiles(folder)
	return err == nil && len(paths) > 0
}

// Load reads a folder's keys.
func Load(folder string) (*resumetoken.KeyRing, error) {
	paths, err := keyFiles(folder)
	if err != nil {
		return nil, err
	}
	if len(paths) == 0 {
		return nil, fmt.Errorf("%s: no file *%s; make one with 'coralctl key new'", folder, keySuffix)
	}
	if len(paths) > maxKeys {
		return nil, fmt.Errorf("%s: %d keys, at most %d are read; remove those whose tokens have expired", folder, len(paths), maxKeys)
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

func readKey(path string) (*resumetoken.Key, error) {
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
	text := make([]byte, info.Size())
	if _, err := file.Read(text); err != nil {
		return nil, err
	}
	lines := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	if len(lines) != 4 || lines[0] != keyHeader {
		return nil, fmt.Errorf("want four lines, the first %q", keyHeader)
	}
	values := make([]string, 3)
	for i, name := range []string{"id", "signs-from", "secret"} {
		value, ok := strings.CutPrefix(lines[i+1], name+" ")
		if !ok {
			return nil, fmt.Errorf("line %d: want %s", i+2, name)
		}
		values[i] = value
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
