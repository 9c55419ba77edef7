package keyfile

import (
	"crypto/ed25519"
	"encoding/hex"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"coralrelay/internal/resumetoken"
)

// The files of testdata/stored were made by
//
//	go test ./internal/keyfile -run TestReadsStored -update
//
// which draws other ids and secrets: those written out below are to be changed with them.
var update = flag.Bool("update", false, "rewrite testdata/stored")

var (
	firstStartsAt  = time.Date(2027, 1, 15, 8, 0, 1, 0, time.UTC)
	secondStartsAt = time.Date(2027, 2, 16, 9, 30, 2, 0, time.UTC)
)

// copyStored returns a folder with a copy of testdata/stored/name, readable by its owner
// alone, which git does not keep.
func copyStored(t *testing.T, name string) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), name)
	if err := os.CopyFS(dir, os.DirFS(filepath.Join("testdata/stored", name))); err != nil {
		t.Fatal(err)
	}
	paths, err := filepath.Glob(filepath.Join(dir, "*"))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		if err := os.Chmod(path, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// sameButDrawn tells whether two key files are the same bytes but for the words of these
// numbers, which are drawn at random.
func requireSameExceptWords(t *testing.T, stored, written string, drawn ...int) {
	t.Helper()
	var texts [2]string
	for i, path := range []string{stored, written} {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		texts[i] = string(text)
	}
	words, fresh := strings.Fields(texts[0]), strings.Fields(texts[1])
	if len(words) != len(fresh) {
		t.Fatalf("%d words are written, %d are stored", len(fresh), len(words))
	}
	for _, at := range drawn {
		if len(words[at]) != len(fresh[at]) {
			t.Errorf("word %d has %d bytes, stored are %d", at, len(fresh[at]), len(words[at]))
		}
		texts[1] = strings.Replace(texts[1], fresh[at], words[at], 1)
	}
	if texts[0] != texts[1] {
		t.Errorf("written %q, stored %q", texts[1], texts[0])
	}
}

func TestReadsStoredKeys(t *testing.T) {
	if *update {
		_ = os.RemoveAll("testdata/stored/keys")
		for _, from := range []time.Time{firstStartsAt, secondStartsAt} {
			if _, _, err := Create("testdata/stored/keys", from); err != nil {
				t.Fatal(err)
			}
		}
	}
	dir := copyStored(t, "keys")
	ring, err := Load(dir)
	if err != nil {
		t.Fatal(err)
	}
	var want []*resumetoken.Key // that which signs last first
	for _, k := range []struct {
		id     resumetoken.KeyID
		from   time.Time
		secret string
	}{
		{0xe10e5335, secondStartsAt, "2c7d6fc63582c1fa1b9626eb21282360b8f6ce833d7463e0775e9ac61e987ab1"},
		{0x78b29d51, firstStartsAt, "103215ca08f9287cdf93ca97c3ba5df5d1843b717f2c152d39b0f031294fc2d1"},
	} {
		secret, err := hex.DecodeString(k.secret)
		if err != nil {
			t.Fatal(err)
		}
		key, err := resumetoken.NewKey(k.id, k.from, secret)
		if err != nil {
			t.Fatal(err)
		}
		want = append(want, key)
	}
	if got := ring.Keys(); !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v, want %+v", got, want)
	}
	path, id, err := Create(t.TempDir(), secondStartsAt)
	if err != nil || filepath.Base(path) != id.String()+".key" {
		t.Fatalf("key %v is written to %s: %v", id, path, err)
	}
	requireSameExceptWords(t, filepath.Join(dir, "e10e5335.key"), path, 2, 6)
}

func TestReadsStoredAuthority(t *testing.T) {
	if *update {
		_ = os.RemoveAll("testdata/stored/authority")
		if _, _, err := CreateAuthority("testdata/stored/authority", "root.authority"); err != nil {
			t.Fatal(err)
		}
	}
	stored := filepath.Join(copyStored(t, "authority"), "root.authority")
	private, err := LoadAuthority(stored)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := hex.EncodeToString(private.Seed()), "9c81cf84f3845e2a4211f2c2dae478e33ac7b0a11242cc083b638d823edc3c45"; got != want {
		t.Errorf("read seed %s, want %s", got, want)
	}
	public, _ := private.Public().(ed25519.PublicKey)
	if got, want := hex.EncodeToString(public), "328283e1c3abcc953609b2eb1f4551625caae0a473ab55fa5c5aed25a2f72c83"; got != want {
		t.Errorf("read public key %s, want %s", got, want)
	}
	path, _, err := CreateAuthority(t.TempDir(), "root.authority")
	if err != nil {
		t.Fatal(err)
	}
	requireSameExceptWords(t, stored, path, 4, 6)
}
