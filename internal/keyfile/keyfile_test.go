package keyfile

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func TestCreateAndLoadKeys(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "keys")
	if _, err := Load(dir); err == nil || !strings.Contains(err.Error(), "coralctl key new") {
		t.Errorf("no folder: %v", err)
	}
	path, id, err := Create(dir, time.Now().Add(-time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := Create(dir, time.Now().Add(time.Hour)); err != nil {
		t.Fatal(err)
	}
	r, err := Load(dir)
	if err != nil || len(r.Keys()) != 2 {
		t.Fatal(r, err)
	}
	if k, ok := r.SigningKey(time.Now()); !ok || k.ID != id {
		t.Errorf("%v signs, want %v", k, id)
	}
	good, _ := os.ReadFile(path)
	for name, change := range map[string]func(){
		"others may read it": func() { _ = os.Chmod(path, 0o640) },
		"cut":                func() { _ = os.WriteFile(path, good[:len(good)-3], 0o600) },
		"no time": func() {
			_ = os.WriteFile(path, []byte(strings.Replace(string(good), "signs-from 2", "signs-from x", 1)), 0o600)
		},
		"too large": func() { _ = os.WriteFile(path, make([]byte, 5000), 0o600) },
	} {
		change()
		_, err := Load(dir)
		if err == nil || !strings.Contains(err.Error(), path) {
			t.Errorf("%s: %v, want an error that names the file", name, err)
		}
		if secret := strings.Fields(string(good))[6]; err != nil && strings.Contains(err.Error(), secret[:20]) {
			t.Errorf("%s: the error tells the secret", name)
		}
		_ = os.Chmod(path, 0o600)
		_ = os.WriteFile(path, good, 0o600)
	}
	if _, err := Load(dir); err != nil {
		t.Error(err)
	}
}
