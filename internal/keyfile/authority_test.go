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
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	intact, secret := string(raw), strings.Fields(string(raw))[6]
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for name, text := range map[string]string{
		"cut":                    intact[:len(intact)-3],
		"another's":              strings.Replace(intact, secret, strings.Repeat("0", 64), 1),
		"another kind of key":    strings.Replace(intact, "ed25519", "rsa", 1),
		"header of a resume key": strings.Replace(intact, authorityHeader, keyHeader, 1),
		"an extra line":          intact + "x\n",
	} {
		t.Run(name, func(t *testing.T) {
			write(text)
			_, err := LoadAuthority(path)
			requireSafeError(t, err, path, secret)
		})
	}
	write(intact)
	if err := os.Chmod(path, 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := LoadAuthority(path); err == nil || !strings.Contains(err.Error(), "accessible by others") {
		t.Errorf("loading a file with mode 0644: %v", err)
	}
	if _, _, err := CreateAuthority(t.TempDir()+"/new", "a"); err != nil {
		t.Errorf("creating a key in a new directory: %v", err)
	}
}
