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
)

// maxFileBytes bounds the file.
const maxFileBytes = 1 << 20

// Load reads and checks the file at path. JSON is read here; for a CUE file coralctl beside
// this program is started, which ends before Load returns.
func Load(path string) (File, error) {
	raw, err := readFile(path)
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

func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	raw, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err == nil && len(raw) > maxFileBytes {
		err = fmt.Errorf("%s: over %d bytes", path, maxFileBytes)
	}
	return raw, err
}

// Parse decodes and checks JSON. Keys that it does not have keep their defaults; an unknown
// key is an error.
func Parse(raw []byte) (File, error) {
	f := Default()
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return File{}, KeyError{wrong.Field, wrong.Value, wrong.Type.String()}
		}
		return File{}, err
	}
	if _, err := d.Token(); err != io.EOF {
		return File{}, errors.New("more than one record")
	}
	return f, f.Check()
}

// exportTimeout bounds the run of the helper that reads CUE.
const exportTimeout = 20 * time.Second

// exportCUE runs coralctl to turn a CUE file into JSON. CUE takes megabytes; the helper has
// ended before the node serves.
func exportCUE(path string) ([]byte, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	helper := filepath.Join(filepath.Dir(self), "coralctl")
	if _, err := os.Stat(helper); err != nil {
		return nil, fmt.Errorf("%s needs coralctl beside the node, or give the JSON that 'coralctl export' prints: %w", path, err)
	}
	var out, complaint bytes.Buffer
	c := exec.Command(helper, "export", path)
	c.Stdout, c.Stderr, c.WaitDelay = &out, &complaint, time.Second
	if err := c.Start(); err != nil {
		return nil, err
	}
	timer := time.AfterFunc(exportTimeout, func() { _ = c.Process.Kill() })
	defer timer.Stop()
	if err := c.Wait(); err != nil {
		return nil, fmt.Errorf("%s", strings.TrimSpace(complaint.String()+" "+err.Error()))
	}
	return out.Bytes(), nil
}

// ChangedRestartKeys returns the keys that differ between f and next and need a restart,
// sorted.
func (f *File) ChangedRestartKeys(next *File) (keys []string) {
	for key, same := range map[string]bool{
		"log.format": f.Log.Format == next.Log.Format, "resume.enabled": f.Resume.Enabled == next.Resume.Enabled,
		"udp":           f.UDP == next.UDP,
		"fleet":         reflect.DeepEqual(f.Fleet, next.Fleet),
		"resume.ledger": reflect.DeepEqual(f.Resume.ReplayGuard, next.Resume.ReplayGuard),
	} {
		if !same {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
