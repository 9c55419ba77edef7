package inputlimit

import (
	"io"
	"os"
)

// ReadAll reads all input of a peer, at most maxBytes. Its error is an *Error if there is more.
func ReadAll(reader io.Reader, limit Limit, peer string, maxBytes int) ([]byte, error) {
	input, err := io.ReadAll(io.LimitReader(reader, int64(maxBytes)+1))
	if err == nil && len(input) > maxBytes {
		return nil, Exceeded(limit, peer, int64(len(input)), int64(maxBytes))
	}
	return input, err
}

// ReadFile reads a file of at most maxBytes. Its error is an *Error if the file is larger.
func ReadFile(path string, maxBytes int) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return ReadAll(file, File, path, maxBytes)
}
