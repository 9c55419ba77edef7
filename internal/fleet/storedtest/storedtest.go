// Package storedtest helps to test the compatibility of stored files and messages: that those of
// earlier versions can still be decoded, and are still encoded byte for byte alike. Only tests import
// it.
//
// A package keeps its stored files in testdata/stored. Running its tests with goldie's -update flag
// rewrites these files, which is a change of the format. All functions report failures through t; they
// return no errors and start no goroutine.
package storedtest

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/sebdah/goldie/v2"
)

const directory = "testdata/stored"

// AssertJSON checks that every field of value is set, that value is encoded as the line of JSON in the
// stored file, and that this line is decoded as value. It returns the line.
func AssertJSON[T any](t *testing.T, name string, value T) []byte {
	t.Helper()
	AssertDistinctFields(t, value)
	written, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	stored := AssertFile(t, name, append(written, '\n'))
	var read T
	if err := json.Unmarshal(stored, &read); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if !reflect.DeepEqual(read, value) {
		t.Errorf("%s decoded as %+v, want %+v", name, read, value)
	}
	return stored
}

// AssertFile checks that the stored file holds exactly the bytes of written, and returns its content.
func AssertFile(t *testing.T, name string, written []byte) []byte {
	t.Helper()
	files := goldie.New(t, goldie.WithFixtureDir(directory), goldie.WithNameSuffix(""))
	files.Assert(t, name, written)
	return read(t, name)
}

// ReadFile returns the content of the stored file. It is for formats whose encoding is not deterministic,
// to which AssertFile does not apply. With -update it first stores what write returns.
func ReadFile(t *testing.T, name string, write func() []byte) []byte {
	t.Helper()
	if flag.Lookup("update").Value.String() == "true" {
		if err := os.WriteFile(filepath.Join(directory, name), write(), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return read(t, name)
}

func read(t *testing.T, name string) []byte {
	t.Helper()
	stored, err := os.ReadFile(filepath.Join(directory, name))
	if err != nil {
		t.Fatal(err)
	}
	return stored
}

// AssertDistinctFields checks that no field in value is zero, and that no two fields other than booleans
// are equal. A test that compares such a value detects each field that is lost or swapped with another.
func AssertDistinctFields(t *testing.T, value any) {
	t.Helper()
	pathsByText := map[string]string{}
	visitLeaves(reflect.ValueOf(value), fmt.Sprintf("%T", value), func(path string, leaf reflect.Value) {
		if leaf.IsZero() {
			t.Errorf("%s is zero", path)
			return
		}
		if leaf.Kind() == reflect.Bool {
			return
		}
		text := fmt.Sprint(leaf)
		if other, found := pathsByText[text]; found {
			t.Errorf("%s and %s are both %s", other, path, text)
		}
		pathsByText[text] = path
	})
}

// visitLeaves calls visit for each value within value that contains no other values, including nil and
// empty collections.
func visitLeaves(value reflect.Value, path string, visit func(path string, leaf reflect.Value)) {
	kind := value.Kind()
	isList := kind == reflect.Slice || kind == reflect.Array
	switch {
	case kind == reflect.Pointer && !value.IsNil():
		visitLeaves(value.Elem(), path, visit)
	case kind == reflect.Struct:
		for i := range value.NumField() {
			field := value.Type().Field(i)
			if field.Tag.Get("json") != "-" && (field.IsExported() || field.Anonymous) {
				visitLeaves(value.Field(i), path+"."+field.Name, visit)
			}
		}
	case kind == reflect.Map && value.Len() > 0:
		for entries := value.MapRange(); entries.Next(); {
			visitLeaves(entries.Value(), fmt.Sprintf("%s[%v]", path, entries.Key()), visit)
		}
	case isList && value.Len() > 0 && value.Type().Elem().Kind() != reflect.Uint8:
		for i := range value.Len() {
			visitLeaves(value.Index(i), fmt.Sprintf("%s[%d]", path, i), visit)
		}
	case (kind == reflect.Slice || kind == reflect.Map) && value.Len() == 0:
		visit(path, reflect.Zero(value.Type()))
	default:
		visit(path, value)
	}
}
