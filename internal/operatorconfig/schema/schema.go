// Package schema is the operator's file as a schema in CUE: it exports files to JSON and
// explains keys. Only coralctl links it, since CUE takes megabytes. It starts no goroutine;
// its errors name file, line, key, the value found and the values allowed.
package schema

import (
	_ "embed" // the schema is a file of its own
	"fmt"
	"strings"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/ast"
	"cuelang.org/go/cue/cuecontext"
	"cuelang.org/go/cue/errors"
	"cuelang.org/go/cue/format"

	"coralrelay/internal/operatorconfig"
)

//go:embed operator.cue
var schemaText string

// compileSchema returns the schema as a closed definition.
func compileSchema(ctx *cue.Context) (cue.Value, error) {
	// A definition is closed all the way down: that refuses a misspelt key.
	v := ctx.CompileString("#File: {\n"+schemaText+"\n}", cue.Filename("operator.cue")).LookupPath(cue.ParsePath("#File"))
	return v, v.Err()
}

// Export returns the file at name, whose text is src, as complete JSON.
func Export(name string, src []byte) ([]byte, error) {
	ctx := cuecontext.New()
	definition, err := compileSchema(ctx)
	if err != nil {
		return nil, fmt.Errorf("schema: %w", err)
	}
	given := ctx.CompileBytes(src, cue.Filename(name))
	if given.Err() != nil {
		return nil, explainErrors(name, definition, given, given.Err())
	}
	if lines := unknownKeys(name, definition, given, ""); len(lines) > 0 {
		return nil, fmt.Errorf("%s", strings.Join(lines, "\n"))
	}
	complete := definition.Unify(given)
	if err := complete.Validate(cue.Concrete(true), cue.Final()); err != nil {
		return nil, explainErrors(name, definition, given, err)
	}
	raw, err := complete.MarshalJSON()
	if err != nil {
		return nil, explainErrors(name, definition, given, err)
	}
	// The node's own check decides: both have to agree.
	if _, err := operatorconfig.Parse(raw); err != nil {
		return nil, explainKeyErrors(name, given, err)
	}
	return raw, nil
}

// unknownKeys returns a line for each key that the schema does not have; CUE alone stops at
// other errors before it reports them.
func unknownKeys(name string, want, got cue.Value, path string) (lines []string) {
	fields, err := got.Fields()
	if err != nil {
		return nil
	}
	for fields.Next() {
		key := strings.TrimPrefix(path+"."+fields.Selector().Unquoted(), ".")
		if !want.Allows(fields.Selector()) {
			lines = append(lines, fmt.Sprintf("%s: %s: no such key; allowed here: %s",
				position(name, got, fields.Selector().String(), nil), key, keyNames(want)))
			continue
		}
		if next := want.LookupPath(cue.MakePath(fields.Selector())); next.Exists() {
			lines = append(lines, unknownKeys(name, next, fields.Value(), key)...)
		}
	}
	return lines
}

// explainErrors rewrites CUE's errors for an operator: the place in the file, the key, the
// value found there and what the schema allows.
func explainErrors(name string, want, got cue.Value, err error) error {
	var lines []string
	seen := map[string]bool{}
	for _, e := range errors.Errors(err) {
		key := strings.TrimPrefix(strings.Join(e.Path(), "."), "#File.")
		if seen[key] && key != "" {
			continue
		}
		seen[key] = true
		line := position(name, got, key, e) + ": "
		at := want.LookupPath(cue.ParsePath(key))
		found := got.LookupPath(cue.ParsePath(key))
		switch {
		case key == "":
			line += e.Error()
		case !at.Exists():
			line += key + ": " + e.Error()
		default:
			line += fmt.Sprintf("%s: found %s, allowed is %s", key, foundValue(found), allowedValues(at))
		}
		lines = append(lines, line)
	}
	return fmt.Errorf("%s", strings.Join(lines, "\n"))
}

// explainKeyErrors adds the place in the file to the errors of the node's own check.
func explainKeyErrors(name string, got cue.Value, err error) error {
	var lines []string
	for _, l := range strings.Split(err.Error(), "\n") {
		key, _, _ := strings.Cut(l, ":")
		lines = append(lines, position(name, got, key, nil)+": "+l)
	}
	return fmt.Errorf("%s", strings.Join(lines, "\n"))
}

// position returns where the file has the key, or else where the error points to.
func position(name string, got cue.Value, key string, e errors.Error) string {
	if v := got.LookupPath(cue.ParsePath(key)); key != "" && v.Exists() && v.Pos().IsValid() {
		return fmt.Sprintf("%s:%d", name, v.Pos().Line())
	}
	if e != nil {
		for _, p := range errors.Positions(e) {
			if p.Filename() == name {
				return fmt.Sprintf("%s:%d", name, p.Line())
			}
		}
	}
	return name
}

func foundValue(v cue.Value) string {
	if !v.Exists() {
		return "nothing"
	}
	return sourceText(v)
}

func sourceText(v cue.Value) string {
	b, err := format.Node(v.Syntax(cue.Raw()))
	if err != nil {
		return fmt.Sprint(v)
	}
	return strings.Join(strings.Fields(string(b)), " ")
}

// allowedValues returns the schema's text for a key, and the comment above it.
func allowedValues(v cue.Value) string {
	s := sourceText(v)
	if c := docComment(v); c != "" {
		s += " (" + c + ")"
	}
	return s
}

func docComment(v cue.Value) string {
	var paragraphs []string
	for _, g := range v.Doc() {
		paragraphs = append(paragraphs, strings.TrimSpace(g.Text()))
	}
	return strings.Join(paragraphs, " ")
}

// keyNames lists the keys of a struct.
func keyNames(v cue.Value) string {
	fields, err := v.Fields(cue.Optional(true))
	if err != nil {
		return "none"
	}
	var list []string
	for fields.Next() {
		list = append(list, fields.Selector().Unquoted())
	}
	return strings.Join(list, ", ")
}

// Key describes one key of the schema.
type Key struct {
	Name  string // as log.level
	Type  string // in CUE
	About string // the comment above it
}

// Keys returns the schema's keys that begin with prefix; none is an error.
func Keys(prefix string) ([]Key, error) {
	v, err := compileSchema(cuecontext.New())
	if err != nil {
		return nil, err
	}
	var keys []Key
	var walk func(v cue.Value, path string)
	walk = func(v cue.Value, path string) {
		fields, err := v.Fields()
		if err != nil {
			return
		}
		for fields.Next() {
			at := strings.TrimPrefix(path+"."+fields.Selector().Unquoted(), ".")
			f := fields.Value()
			if _, isStruct := f.Syntax(cue.Raw()).(*ast.StructLit); isStruct {
				walk(f, at)
				continue
			}
			if strings.HasPrefix(at, prefix) {
				keys = append(keys, Key{at, sourceText(f), docComment(f)})
			}
		}
	}
	walk(v, "")
	if len(keys) == 0 {
		return nil, fmt.Errorf("no key %q", prefix)
	}
	return keys, nil
}
