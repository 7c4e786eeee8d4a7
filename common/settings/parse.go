package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"sort"
	"strings"

	"github.com/BurntSushi/toml"
)

// Finding is one validation error in the settings.
type Finding struct {
	// Path is the path of the node; operators edit it as the file Path + ".toml".
	Path string `json:"path"`
	// Line is the line in the node's text, counted from 1; 0 if it is not known.
	Line int `json:"line"`
	// Text describes the error.
	Text string `json:"text"`
	// Suggestion is a valid name similar to the wrong one; empty if there is none.
	Suggestion string `json:"suggestion,omitempty"`
}

// String returns the finding as "file:line: text", followed by the suggestion if any.
func (f Finding) String() string {
	s := fmt.Sprintf("%s.toml:%d: %s", f.Path, f.Line, f.Text)
	if f.Suggestion != "" {
		s += fmt.Sprintf(" (did you mean %q?)", f.Suggestion)
	}
	return s
}

// BadSettingsError reports all validation errors of a tree.
type BadSettingsError struct {
	// Findings are the errors, sorted by path and line.
	Findings []Finding
}

// Error implements error.
func (e *BadSettingsError) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// HashKey returns the form in which a key is stored: "sha256:" and the hex digest.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// Parse decodes and validates all nodes that are not deleted and returns them as
// the tree of the given version. The error is a *BadSettingsError.
func Parse(version int64, nodes []Node) (*Tree, error) {
	p := &parser{tree: &Tree{Version: version, System: DefaultSystem(), Teams: map[string]Team{}}, texts: map[string]string{}}
	for _, n := range nodes {
		if !n.Deleted {
			p.node(n)
		}
	}
	if len(p.findings) == 0 {
		p.check()
	}
	if len(p.findings) == 0 {
		return p.tree, nil
	}
	sort.SliceStable(p.findings, func(i, j int) bool {
		a, b := p.findings[i], p.findings[j]
		return a.Path < b.Path || a.Path == b.Path && a.Line < b.Line
	})
	return nil, &BadSettingsError{Findings: p.findings}
}

// parser accumulates the decoded tree and its validation errors.
type parser struct {
	tree *Tree
	// texts holds the TOML of each node by path, to look up the lines of findings.
	texts    map[string]string
	findings []Finding
}

func (p *parser) node(n Node) {
	p.texts[n.Path] = n.Text
	switch {
	case n.Path == SystemPath:
		p.system(n)
	case strings.HasPrefix(n.Path, TeamsPrefix) && validName(strings.TrimPrefix(n.Path, TeamsPrefix)):
		team := DefaultTeam()
		if p.decode(n, &team) {
			p.tree.Teams[strings.TrimPrefix(n.Path, TeamsPrefix)] = team
		}
	default:
		p.findings = append(p.findings, Finding{
			Path: n.Path, Text: "no such node: expected system or teams/NAME, with a NAME of 1 to 63 characters of a-z, 0-9 and -",
		})
	}
}

// system decodes the system node. Models and services are decoded a second time,
// each over its defaults, because the decoder starts map values from zero.
func (p *parser) system(n Node) {
	var names System
	if _, err := toml.Decode(n.Text, &names); err != nil {
		p.parseError(n.Path, err)
		return
	}
	s := &p.tree.System
	raw := struct {
		Models   map[string]toml.Primitive `toml:"models"`
		Services map[string]toml.Primitive `toml:"services"`
	}{}
	meta, err := toml.Decode(n.Text, &raw)
	if err != nil || !p.decode(n, s) {
		return
	}
	for name, primitive := range raw.Models {
		m := DefaultModel()
		if err := meta.PrimitiveDecode(primitive, &m); err == nil {
			s.Models[name] = m
		}
	}
	for name, primitive := range raw.Services {
		sv := DefaultService()
		if err := meta.PrimitiveDecode(primitive, &sv); err == nil {
			s.Services[name] = sv
		}
	}
}

// decode decodes the node's text into out. It records syntax errors and unknown
// keys as findings and reports whether there were none.
func (p *parser) decode(n Node, out any) bool {
	meta, err := toml.Decode(n.Text, out)
	if err != nil {
		p.parseError(n.Path, err)
		return false
	}
	names := keyNames(reflect.TypeOf(out).Elem(), map[reflect.Type]bool{})
	unknown := append(meta.Undecoded(), otherCase(meta.Keys(), names)...)
	for _, key := range unknown {
		p.findings = append(p.findings, Finding{
			Path: n.Path, Line: lineOf(n.Text, key), Text: fmt.Sprintf("unknown key %q", key.String()),
			Suggestion: nearest(key[len(key)-1], names),
		})
	}
	return len(unknown) == 0
}

// otherCase returns the keys that match a name only if case is ignored. The TOML
// library accepts such keys; they are reported as unknown.
func otherCase(keys []toml.Key, names []string) []toml.Key {
	var wrong []toml.Key
	for _, key := range keys {
		last := key[len(key)-1]
		folds := func(name string) bool { return strings.EqualFold(name, last) }
		if !slices.Contains(names, last) && slices.ContainsFunc(names, folds) {
			wrong = append(wrong, key)
		}
	}
	return wrong
}

func (p *parser) parseError(path string, err error) {
	var parse toml.ParseError
	if errors.As(err, &parse) {
		p.findings = append(p.findings, Finding{Path: path, Line: parse.Position.Line, Text: parse.Message})
		return
	}
	p.findings = append(p.findings, Finding{Path: path, Text: err.Error()})
}

// keyNames returns the TOML names of all fields of t and of the types nested in it.
func keyNames(t reflect.Type, seen map[reflect.Type]bool) []string {
	for t.Kind() == reflect.Map || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct || seen[t] {
		return nil
	}
	seen[t] = true
	var names []string
	for f := range t.Fields() {
		names = append(names, f.Tag.Get("toml"))
		names = append(names, keyNames(f.Type, seen)...)
	}
	return names
}

// lineOf returns the line on which a key is set: the header of the table of that
// name, or the key's assignment in its parent's table. It returns 0 if there is
// neither.
func lineOf(text string, key []string) int {
	parent := strings.Join(key[:len(key)-1], ".")
	last := key[len(key)-1]
	inside := parent == ""
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			header := strings.Trim(strings.ReplaceAll(line, `"`, ""), "[] ")
			if header == strings.Join(key, ".") {
				return i + 1
			}
			inside = header == parent
			continue
		}
		name, _, found := strings.Cut(line, "=")
		if inside && found && strings.Trim(strings.TrimSpace(name), `"`) == last {
			return i + 1
		}
	}
	return 0
}

// nearest returns the candidate with the smallest edit distance to word, ignoring
// case, or "" if none is within two edits.
func nearest(word string, candidates []string) string {
	best, bestDistance := "", 3
	for _, c := range candidates {
		if d := editDistance(strings.ToLower(word), strings.ToLower(c)); d < bestDistance {
			best, bestDistance = c, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance between a and b.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			diagonal, row[j] = row[j], min(diagonal+cost, row[j]+1, row[j-1]+1)
		}
	}
	return row[len(b)]
}

// validName reports whether name is a valid name of a team or an upstream: 1 to 63
// characters of a-z, 0-9 and -.
func validName(name string) bool {
	if name == "" || len(name) > 63 {
		return false
	}
	for _, r := range name {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' {
			return false
		}
	}
	return true
}
