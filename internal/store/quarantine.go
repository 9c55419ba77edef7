package store

import (
	"errors"
	"fmt"
	"os"
)

// Labels in the names of quarantined files. The operator documentation lists them.
const (
	labelCorrupt      = "torn"
	labelNewerLayout  = "newer"
	labelUnrecognized = "foreign"
)

// quarantineLabel returns the label for the reason why a file is unusable. It returns false if
// the reason does not concern the contents of the file.
func quarantineLabel(reason error) (string, bool) {
	switch {
	case errors.Is(reason, ErrNewerLayout):
		return labelNewerLayout, true
	case errors.Is(reason, ErrUnrecognized):
		return labelUnrecognized, true
	case errors.Is(reason, ErrCorrupt):
		return labelCorrupt, true
	}
	return "", false
}

// Quarantine moves a file to PATH.LABEL-N, where N is the first number from 1 whose name is not
// taken, and returns that path.
func Quarantine(path, label string) (string, error) {
	for number := 1; ; number++ {
		target := fmt.Sprintf("%s.%s-%d", path, label, number)
		// os.Link fails if the target exists; os.Rename would overwrite it.
		err := os.Link(path, target)
		if errors.Is(err, os.ErrExist) {
			continue
		}
		if err != nil {
			return "", &Error{Op: OpQuarantine, Path: path, Err: err}
		}
		return target, os.Remove(path)
	}
}
