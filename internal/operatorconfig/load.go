package operatorconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"time"

	"coralrelay/internal/inputlimit"
)

// MaxFileBytes is the maximum size of the file.
const MaxFileBytes = 1 << 20

// Load reads and checks the file at path. It decodes JSON itself. For a CUE file it runs coralctl,
// from the directory of this program, which ends before Load returns.
func Load(path string) (File, error) {
	raw, err := inputlimit.ReadFile(path, MaxFileBytes)
	if err != nil {
		return File{}, fmt.Errorf("--config: %w", err)
	}
	if filepath.Ext(path) == ".cue" {
		if raw, err = exportCUE(path); err != nil {
			return File{}, fmt.Errorf("--config: %w", err)
		}
	}
	f, err := Parse(raw)
	if err != nil {
		return File{}, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// Parse decodes and checks JSON. Missing keys keep their defaults. An unknown key is an error.
func Parse(raw []byte) (File, error) {
	f := Default()
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &typeError) {
			return File{}, KeyError{typeError.Field, typeError.Value, typeError.Type.String()}
		}
		return File{}, err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return File{}, errors.New("more than one JSON record")
	}
	return f, f.Check()
}

// exportTimeout bounds the run time of coralctl.
const exportTimeout = 20 * time.Second

// exportCUE runs coralctl to convert a CUE file to JSON. The CUE library takes megabytes of
// memory, so that it runs in another process, which ends before the node serves.
func exportCUE(path string) ([]byte, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	coralctl := filepath.Join(filepath.Dir(self), "coralctl")
	if _, err := os.Stat(coralctl); err != nil {
		return nil, fmt.Errorf("%s needs coralctl beside the node, or use the output of 'coralctl export': %w",
			path, err)
	}
	var stdout, stderr bytes.Buffer
	command := exec.Command(coralctl, "export", path)
	command.Stdout, command.Stderr, command.WaitDelay = &stdout, &stderr, time.Second
	if err := command.Start(); err != nil {
		return nil, err
	}
	timer := time.AfterFunc(exportTimeout, func() { _ = command.Process.Kill() })
	defer timer.Stop()
	if err := command.Wait(); err != nil {
		return nil, fmt.Errorf("%s", strings.TrimSpace(stderr.String()+" "+err.Error()))
	}
	return stdout.Bytes(), nil
}

// ChangedRestartKeys returns the sorted keys that differ between f and next and whose change needs
// a restart.
func (f *File) ChangedRestartKeys(next *File) (keys []string) {
	for key, unchanged := range map[string]bool{
		"log.format": f.Log.Format == next.Log.Format, "resume.enabled": f.Resume.Enabled == next.Resume.Enabled,
		"udp":           f.UDP == next.UDP,
		"fleet":         reflect.DeepEqual(f.Fleet, next.Fleet),
		"resume.ledger": reflect.DeepEqual(f.Resume.ReplayGuard, next.Resume.ReplayGuard),
	} {
		if !unchanged {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
