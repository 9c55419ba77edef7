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

// copyStored returns a directory with a copy of testdata/stored/name, readable by its owner
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

// requireSameExceptFields checks that two key files are the same bytes except for the fields of
// these numbers, which are drawn at random and only have the same length.
func requireSameExceptFields(t *testing.T, storedPath, writtenPath string, random ...int) {
	t.Helper()
	stored, written := readText(t, storedPath), readText(t, writtenPath)
	storedFields, writtenFields := strings.Fields(stored), strings.Fields(written)
	if len(storedFields) != len(writtenFields) {
		t.Fatalf("%d fields are written, %d are stored", len(writtenFields), len(storedFields))
	}
	for _, number := range random {
		storedField, writtenField := storedFields[number], writtenFields[number]
		if len(storedField) != len(writtenField) {
			t.Errorf("field %d has %d bytes, stored are %d", number, len(writtenField), len(storedField))
		}
		written = strings.Replace(written, writtenField, storedField, 1)
	}
	if stored != written {
		t.Errorf("written %q, stored %q", written, stored)
	}
}

func readText(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
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
	var want []*resumetoken.Key // the one that signs last first
	for _, key := range []struct {
		id              resumetoken.KeyID
		signingStartsAt time.Time
		secret          string
	}{
		{0xe10e5335, secondStartsAt, "2c7d6fc63582c1fa1b9626eb21282360b8f6ce833d7463e0775e9ac61e987ab1"},
		{0x78b29d51, firstStartsAt, "103215ca08f9287cdf93ca97c3ba5df5d1843b717f2c152d39b0f031294fc2d1"},
	} {
		secret, err := hex.DecodeString(key.secret)
		if err != nil {
			t.Fatal(err)
		}
		wanted, err := resumetoken.NewKey(key.id, key.signingStartsAt, secret)
		if err != nil {
			t.Fatal(err)
		}
		want = append(want, wanted)
	}
	if got := ring.Keys(); !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v, want %+v", got, want)
	}
	path, id, err := Create(t.TempDir(), secondStartsAt)
	if err != nil || filepath.Base(path) != id.String()+".key" {
		t.Fatalf("key %v is written to %s: %v", id, path, err)
	}
	requireSameExceptFields(t, filepath.Join(dir, "e10e5335.key"), path, 2, 6)
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
	const wantSeed = "9c81cf84f3845e2a4211f2c2dae478e33ac7b0a11242cc083b638d823edc3c45"
	if got := hex.EncodeToString(private.Seed()); got != wantSeed {
		t.Errorf("read seed %s, want %s", got, wantSeed)
	}
	public, _ := private.Public().(ed25519.PublicKey)
	const wantPublic = "328283e1c3abcc953609b2eb1f4551625caae0a473ab55fa5c5aed25a2f72c83"
	if got := hex.EncodeToString(public); got != wantPublic {
		t.Errorf("read public key %s, want %s", got, wantPublic)
	}
	path, _, err := CreateAuthority(t.TempDir(), "root.authority")
	if err != nil {
		t.Fatal(err)
	}
	requireSameExceptFields(t, stored, path, 4, 6)
}
