// Package schema holds the CUE schema of the operator's file. It exports files to JSON and
// describes keys. Only coralctl links it, as the CUE library takes megabytes. The package starts
// no goroutine. Its errors state the file, line and key, the value found and the values allowed.
package schema

import (
	_ "embed" // for operator.cue
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

// compileSchema returns the schema as a closed CUE definition.
func compileSchema(ctx *cue.Context) (cue.Value, error) {
	// All structs in a CUE definition are closed, so that unknown keys are errors.
	v := ctx.CompileString("#File: {\n"+schemaText+"\n}", cue.Filename("operator.cue")).LookupPath(cue.ParsePath("#File"))
	return v, v.Err()
}

// Export returns the configuration in src as JSON, with the defaults of missing keys. Errors use
// name as the name of the file.
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
	// The node accepts only what Parse accepts, so that the export must pass the same check.
	if _, err := operatorconfig.Parse(raw); err != nil {
		return nil, explainKeyErrors(name, given, err)
	}
	return raw, nil
}

// unknownKeys returns an error line for each key that the schema does not have. CUE itself may
// stop at other errors before it reports unknown keys.
func unknownKeys(name string, definition, given cue.Value, path string) (lines []string) {
	fields, err := given.Fields()
	if err != nil {
		return nil
	}
	for fields.Next() {
		key := strings.TrimPrefix(path+"."+fields.Selector().Unquoted(), ".")
		if !definition.Allows(fields.Selector()) {
			lines = append(lines, fmt.Sprintf("%s: %s: no such key; allowed here: %s",
				position(name, given, fields.Selector().String(), nil), key, keyNames(definition)))
			continue
		}
		if nested := definition.LookupPath(cue.MakePath(fields.Selector())); nested.Exists() {
			lines = append(lines, unknownKeys(name, nested, fields.Value(), key)...)
		}
	}
	return lines
}

// explainErrors rewrites CUE's errors for operators. Each line states the position in the file,
// the key, the value found there and the values that the schema allows.
func explainErrors(name string, definition, given cue.Value, err error) error {
	var lines []string
	seen := map[string]bool{}
	for _, e := range errors.Errors(err) {
		key := strings.TrimPrefix(strings.Join(e.Path(), "."), "#File.")
		if seen[key] && key != "" {
			continue
		}
		seen[key] = true
		line := position(name, given, key, e) + ": "
		allowed := definition.LookupPath(cue.ParsePath(key))
		found := given.LookupPath(cue.ParsePath(key))
		switch {
		case key == "":
			line += e.Error()
		case !allowed.Exists():
			line += key + ": " + e.Error()
		default:
			line += fmt.Sprintf("%s: found %s, allowed is %s", key, foundValue(found), allowedValues(allowed))
		}
		lines = append(lines, line)
	}
	return fmt.Errorf("%s", strings.Join(lines, "\n"))
}

// explainKeyErrors adds the position in the file to the errors of operatorconfig.Parse.
func explainKeyErrors(name string, given cue.Value, err error) error {
	var lines []string
	for _, line := range strings.Split(err.Error(), "\n") {
		key, _, _ := strings.Cut(line, ":")
		lines = append(lines, position(name, given, key, nil)+": "+line)
	}
	return fmt.Errorf("%s", strings.Join(lines, "\n"))
}

// position returns the position of the key in the file. If the file lacks the key, it returns the
// position that the error states, or else the name of the file.
func position(name string, given cue.Value, key string, e errors.Error) string {
	if v := given.LookupPath(cue.ParsePath(key)); key != "" && v.Exists() && v.Pos().IsValid() {
		return fmt.Sprintf("%s:%d", name, v.Pos().Line())
	}
	if e != nil {
		for _, pos := range errors.Positions(e) {
			if pos.Filename() == name {
				return fmt.Sprintf("%s:%d", name, pos.Line())
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

// allowedValues returns the schema's constraint for a key, with the comment above it.
func allowedValues(v cue.Value) string {
	text := sourceText(v)
	if comment := docComment(v); comment != "" {
		text += " (" + comment + ")"
	}
	return text
}

func docComment(v cue.Value) string {
	var paragraphs []string
	for _, group := range v.Doc() {
		paragraphs = append(paragraphs, strings.TrimSpace(group.Text()))
	}
	return strings.Join(paragraphs, " ")
}

// keyNames returns the keys of a struct as a comma-separated list.
func keyNames(v cue.Value) string {
	fields, err := v.Fields(cue.Optional(true))
	if err != nil {
		return "none"
	}
	var names []string
	for fields.Next() {
		names = append(names, fields.Selector().Unquoted())
	}
	return strings.Join(names, ", ")
}

// Key describes one key of the schema.
type Key struct {
	Name  string // full path, such as log.level
	Type  string // CUE expression
	About string // the comment above it
}

// Keys returns the keys of the schema that begin with prefix. It is an error if there are none.
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
			name := strings.TrimPrefix(path+"."+fields.Selector().Unquoted(), ".")
			field := fields.Value()
			if _, isStruct := field.Syntax(cue.Raw()).(*ast.StructLit); isStruct {
				walk(field, name)
				continue
			}
			if strings.HasPrefix(name, prefix) {
				keys = append(keys, Key{name, sourceText(field), docComment(field)})
			}
		}
	}
	walk(v, "")
	if len(keys) == 0 {
		return nil, fmt.Errorf("no key begins with %q", prefix)
	}
	return keys, nil
}
