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
		t.Errorf("loading a directory that does not exist: %v", err)
	}
	path, id, err := Create(dir, time.Now().Add(-time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := Create(dir, time.Now().Add(time.Hour)); err != nil {
		t.Fatal(err)
	}
	ring, err := Load(dir)
	if err != nil || len(ring.Keys()) != 2 {
		t.Fatal(ring, err)
	}
	if key, ok := ring.SigningKey(time.Now()); !ok || key.ID != id {
		t.Errorf("signing key %v, want %v", key, id)
	}
	intact, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	secret := strings.Fields(string(intact))[6]
	write := func(text []byte) { _ = os.WriteFile(path, text, 0o600) }
	for name, damage := range map[string]func(){
		"accessible by others": func() { _ = os.Chmod(path, 0o640) },
		"cut":                  func() { write(intact[:len(intact)-3]) },
		"invalid time": func() {
			write([]byte(strings.Replace(string(intact), "signs-from 2", "signs-from x", 1)))
		},
		"too large": func() { write(make([]byte, 5000)) },
	} {
		t.Run(name, func(t *testing.T) {
			damage()
			_, err := Load(dir)
			requireSafeError(t, err, path, secret)
			_ = os.Chmod(path, 0o600)
			write(intact)
		})
	}
	if _, err := Load(dir); err != nil {
		t.Error(err)
	}
}

// requireSafeError checks that err names the file and does not contain the secret.
func requireSafeError(t *testing.T, err error, path, secret string) {
	t.Helper()
	if err == nil || !strings.Contains(err.Error(), path) || strings.Contains(err.Error(), secret[:20]) {
		t.Errorf("error %v, want one that names the file and does not contain the secret", err)
	}
}
