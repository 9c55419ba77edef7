package keyfile

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"coralrelay/internal/inputlimit"
)

const (
	filePermissions = 0o600
	dirPermissions  = 0o700
	// forbiddenPermissions are the permissions of the group and of others, none of which a key
	// file may grant.
	forbiddenPermissions = 0o077
	// maxFileSize is the size of the largest key file that is read, in bytes.
	maxFileSize = 4096
)

// field is one line of a key file.
type field struct{ name, value string }

// createFile writes a new key file in dir and returns its path. It creates dir if needed. It is
// an error if the file exists.
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

// readFields reads a key file and returns the values of its fields. It is an error if the file
// does not consist of the header and exactly the named fields in this order.
func readFields(path, header string, names ...string) ([]string, error) {
	text, err := readPrivateFile(path)
	if err != nil {
		return nil, err
	}
	lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
	if len(lines) != len(names)+1 || lines[0] != header {
		return nil, fmt.Errorf("want %d lines, the first of which is %q", len(names)+1, header)
	}
	values := make([]string, len(names))
	for i, name := range names {
		value, ok := strings.CutPrefix(lines[i+1], name+" ")
		if !ok {
			return nil, fmt.Errorf("line %d: want field %s", i+2, name)
		}
		values[i] = value
	}
	return values, nil
}

// readPrivateFile reads a file of at most maxFileSize bytes that only its owner may access.
func readPrivateFile(path string) (string, error) {
	file, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer func() { _ = file.Close() }()
	info, err := file.Stat()
	switch {
	case err != nil:
		return "", err
	case info.Mode().Perm()&forbiddenPermissions != 0:
		return "", fmt.Errorf("mode %04o: accessible by others, want %04o",
			info.Mode().Perm(), filePermissions)
	}
	text, err := inputlimit.ReadAll(file, inputlimit.File, path, maxFileSize)
	return string(text), err
}
