package keyfile

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
)

const (
	filePermissions = 0o600
	dirPermissions  = 0o700
	// othersPermissions are the bits that a key file must not have.
	othersPermissions = 0o077
	// maxFileSize bounds what is read of a key file, in bytes.
	maxFileSize = 4096
)

// field is one line of a key file.
type field struct{ name, value string }

// createFile writes a key file of that name, which must not exist, and returns its path. The
// directory is created if needed.
func createFile(dir, name, header string, fields ...field) (path string, err error) {
	if err := os.MkdirAll(dir, dirPermissions); err != nil {
		return "", err
	}
	path = filepath.Join(dir, name)
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, filePermissions)
	if err != nil {
		return "", err
	}
	var text strings.Builder
	text.WriteString(header + "\n")
	for _, line := range fields {
		text.WriteString(line.name + " " + line.value + "\n")
	}
	_, err = file.WriteString(text.String())
	return path, errors.Join(err, file.Sync(), file.Close())
}

// readFields reads a key file that has this header and fields of these names, and returns the
// fields' values.
func readFields(path, header string, names ...string) ([]string, error) {
	text, err := readPrivate(path)
	if err != nil {
		return nil, err
	}
	lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
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

// readPrivate reads a small file that nobody but its owner may access.
func readPrivate(path string) (string, error) {
	file, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer func() { _ = file.Close() }()
	info, err := file.Stat()
	switch {
	case err != nil:
		return "", err
	case info.Mode().Perm()&othersPermissions != 0:
		return "", fmt.Errorf("mode is %04o, others may read it; want %04o", info.Mode().Perm(), filePermissions)
	case info.Size() > maxFileSize:
		return "", fmt.Errorf("%d bytes is no key", info.Size())
	}
	text, err := io.ReadAll(io.LimitReader(file, maxFileSize))
	return string(text), err
}
