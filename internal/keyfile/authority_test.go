package keyfile

import (
	"crypto/ed25519"
	"os"
	"strings"
	"testing"
)

func TestCreateAndLoadAuthority(t *testing.T) {
	path, public, err := CreateAuthority(t.TempDir(), "root.authority")
	if err != nil {
		t.Fatal(err)
	}
	private, err := LoadAuthority(path)
	if err != nil || !ed25519.Verify(public, []byte("x"), ed25519.Sign(private, []byte("x"))) {
		t.Fatal(err)
	}
	if info, _ := os.Stat(path); info.Mode().Perm() != 0o600 {
		t.Errorf("mode %v", info.Mode())
	}
	raw, _ := os.ReadFile(path)
	good, secret := string(raw), strings.Fields(string(raw))[6]
	for name, bad := range map[string]string{
		"cut":             good[:len(good)-3],
		"another's":       strings.Replace(good, secret, strings.Repeat("0", 64), 1),
		"another kind":    strings.Replace(good, "ed25519", "rsa", 1),
		"a resume key":    strings.Replace(good, authorityHeader, keyHeader, 1),
		"a line too many": good + "x\n",
	} {
		if err := os.WriteFile(path, []byte(bad), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := LoadAuthority(path); err == nil || !strings.Contains(err.Error(), path) || strings.Contains(err.Error(), secret[:20]) {
			t.Errorf("%s: %v, want an error that names the file and not the secret", name, err)
		}
	}
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Chmod(path, 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := LoadAuthority(path); err == nil || !strings.Contains(err.Error(), "others may read it") {
		t.Errorf("readable by all: %v", err)
	}
	if _, _, err := CreateAuthority(t.TempDir()+"/new", "a"); err != nil {
		t.Errorf("a new folder: %v", err)
	}
}
