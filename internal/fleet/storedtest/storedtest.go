// Package storedtest supports tests which show that stored files and messages of earlier
// versions are still read, and still written byte for byte. Only tests import it.
//
// A package keeps its stored files in testdata/stored. Running its tests with goldie's
// -update flag writes them anew; that is a change of the format.
package storedtest

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/sebdah/goldie/v2"
)

const directory = "testdata/stored"

// JSON checks that value has every field set, that it is written as the line of JSON in the
// stored file, and that this line is read as value. It returns the line.
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
		t.Errorf("%s is read as %+v, want %+v", name, read, value)
	}
	return stored
}

// File checks that the stored file holds exactly what is written now, and returns it.
func AssertFile(t *testing.T, name string, written []byte) []byte {
	t.Helper()
	files := goldie.New(t, goldie.WithFixtureDir(directory), goldie.WithNameSuffix(""))
	files.Assert(t, name, written)
	stored, err := os.ReadFile(filepath.Join(directory, name))
	if err != nil {
		t.Fatal(err)
	}
	return stored
}

// Complete checks that no field which value holds is zero, and that no two hold the same,
// so that none can be lost or mistaken for another unseen.
func AssertDistinctFields(t *testing.T, value any) {
	t.Helper()
	holders := map[string]string{}
	eachLeaf(reflect.ValueOf(value), fmt.Sprintf("%T", value), func(path string, leaf reflect.Value) {
		if leaf.IsZero() {
			t.Errorf("%s is zero", path)
			return
		}
		if leaf.Kind() == reflect.Bool {
			return
		}
		text := fmt.Sprint(leaf)
		if other, taken := holders[text]; taken {
			t.Errorf("%s and %s are both %s", other, path, text)
		}
		holders[text] = path
	})
}

// eachLeaf visits every value that holds no others: nil and empty collections are among them.
func eachLeaf(value reflect.Value, path string, visit func(path string, leaf reflect.Value)) {
	switch kind := value.Kind(); {
	case kind == reflect.Pointer && !value.IsNil():
		eachLeaf(value.Elem(), path, visit)
	case kind == reflect.Struct:
		for i := range value.NumField() {
			field := value.Type().Field(i)
			if field.Tag.Get("json") != "-" && (field.IsExported() || field.Anonymous) {
				eachLeaf(value.Field(i), path+"."+field.Name, visit)
			}
		}
	case kind == reflect.Map && value.Len() > 0:
		for entries := value.MapRange(); entries.Next(); {
			eachLeaf(entries.Value(), fmt.Sprintf("%s[%v]", path, entries.Key()), visit)
		}
	case (kind == reflect.Slice || kind == reflect.Array) && value.Len() > 0 && value.Type().Elem().Kind() != reflect.Uint8:
		for i := range value.Len() {
			eachLeaf(value.Index(i), fmt.Sprintf("%s[%d]", path, i), visit)
		}
	case (kind == reflect.Slice || kind == reflect.Map) && value.Len() == 0:
		visit(path, reflect.Zero(value.Type()))
	default:
		visit(path, value)
	}
}
