package intent

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Limits of a configuration's files.
const (
	// MaxFileBytes is the maximum size of one file, the largest value that the
	// store accepts.
	MaxFileBytes = 1 << 20
	// MaxTotalBytes is the maximum size of all files together. In base64 they
	// must fit into a snapshot that peers exchange.
	MaxTotalBytes = 4 << 20
	// MaxFiles is the maximum number of files.
	MaxFiles = 1000
	// MaxDepth is the maximum nesting depth of mappings and lists in a file.
	MaxDepth = 16
)

type nodeKind int

const (
	kindNull nodeKind = iota
	kindScalar
	kindList
	kindMapping
)

func (k nodeKind) String() string {
	return [...]string{"null", "a value", "a list", "a mapping"}[k]
}

// node is one value of a configuration file or of several merged files.
type node struct {
	kind nodeKind
	// pos is the position of the value, or of its key if it is a mapping's field.
	pos Position
	// tag and text are the YAML tag and the text of a scalar.
	tag, text string
	items     []*node
	// keys lists the names of fields in the order in which they were set.
	keys   []string
	fields map[string]*node
}

func newMapping(pos Position) *node {
	return &node{kind: kindMapping, pos: pos, fields: make(map[string]*node)}
}

func (n *node) set(key string, v *node) {
	if _, ok := n.fields[key]; !ok {
		n.keys = append(n.keys, key)
	}
	n.fields[key] = v
}

func (n *node) remove(key string) {
	if _, ok := n.fields[key]; !ok {
		return
	}
	delete(n.fields, key)
	for i, k := range n.keys {
		if k == key {
			n.keys = append(n.keys[:i:i], n.keys[i+1:]...)
			return
		}
	}
}

// treeReader converts one file to a node and collects its diagnostics.
type treeReader struct {
	file  string
	paths pathBuilder
	diags Diagnostics
	// interned holds one node per distinct scalar and list of scalars. Nodes with
	// positions are not interned.
	interned map[string]*node
}

// readTree returns the file's mapping, or nil if the file can't be read.
func readTree(f File, p pathBuilder) (*node, Diagnostics) {
	r := &treeReader{file: f.Name, paths: p, interned: make(map[string]*node)}
	root := r.readDocument(f.Content)
	return root, r.diags
}

func (r *treeReader) readDocument(content []byte) *node {
	dec := yaml.NewDecoder(bytes.NewReader(content))
	var doc yaml.Node
	err := dec.Decode(&doc)
	if errors.Is(err, io.EOF) {
		return newMapping(Position{File: r.file})
	}
	if err != nil {
		r.reportSyntaxError(err)
		return nil
	}
	var second yaml.Node
	err = dec.Decode(&second)
	if err == nil {
		r.reportFault(&second, "", "the file holds more than one document", "one document a file")
		return nil
	}
	if !errors.Is(err, io.EOF) {
		r.reportSyntaxError(err)
		return nil
	}
	return r.readRoot(&doc)
}

func (r *treeReader) readRoot(doc *yaml.Node) *node {
	if len(doc.Content) == 0 {
		return newMapping(Position{File: r.file})
	}
	before := len(r.diags)
	n := r.readValue(doc.Content[0], "", 0)
	if len(r.diags) > before {
		return nil
	}
	switch n.kind {
	case kindMapping:
		return n
	case kindNull:
		return newMapping(n.pos)
	}
	r.reportFault(doc.Content[0], "", "the file is "+n.kind.String(), "a mapping")
	return nil
}

// syntaxErrorLine matches the line number in the YAML library's error messages.
var syntaxErrorLine = regexp.MustCompile(`line (\d+)`)

func (r *treeReader) reportSyntaxError(err error) {
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	pos := Position{File: r.file}
	if m := syntaxErrorLine.FindStringSubmatch(text); m != nil {
		pos.Line, _ = strconv.Atoi(m[1])
		pos.Column = 1
	}
	r.diags = append(r.diags, Diagnostic{
		Severity: Fault,
		Position: pos,
		Problem:  "not valid YAML: " + text,
		Want:     "a YAML mapping",
	})
}

func (r *treeReader) reportFault(n *yaml.Node, path, problem, want string) {
	r.diags = append(r.diags, Diagnostic{
		Severity: Fault,
		Position: r.position(n),
		Path:     path,
		Problem:  problem,
		Want:     want,
	})
}

// position returns the position of n, or the zero Position if paths are off.
func (r *treeReader) position(n *yaml.Node) Position {
	if !r.paths {
		return Position{}
	}
	return Position{File: r.file, Line: n.Line, Column: n.Column}
}

// readValue converts y. It always returns a node; diagnostics are added to r.diags.
func (r *treeReader) readValue(y *yaml.Node, path string, depth int) *node {
	n := &node{pos: r.position(y)}
	if y.Kind == yaml.AliasNode || y.Anchor != "" {
		r.reportFault(y, path, "anchors and aliases are not supported", "the value written out")
		return n
	}
	if depth > MaxDepth {
		r.reportFault(y, path, "nested too deeply", fmt.Sprintf("at most %d levels", MaxDepth))
		return n
	}
	switch y.Kind {
	case yaml.MappingNode:
		r.readMapping(n, y, path, depth)
	case yaml.SequenceNode:
		n.kind = kindList
		for i, item := range y.Content {
			n.items = append(n.items, r.readValue(item, r.paths.item(path, i), depth+1))
		}
	default:
		r.readScalar(n, y)
	}
	return r.intern(n)
}

// intern returns the first node equal to n if n is a scalar or a list of scalars.
// Sharing equal nodes saves memory in a large configuration.
func (r *treeReader) intern(n *node) *node {
	key, ok := n.internKey()
	if bool(r.paths) || !ok {
		return n
	}
	if first, ok := r.interned[key]; ok {
		return first
	}
	r.interned[key] = n
	return n
}

// internKey returns a key that is the same for equal nodes only. ok is false for
// nodes that can't be interned.
func (n *node) internKey() (key string, ok bool) {
	switch n.kind {
	case kindNull, kindScalar:
		return n.tag + " " + n.text, true
	case kindList:
		return n.listInternKey()
	}
	return "", false
}

func (n *node) listInternKey() (key string, ok bool) {
	var b strings.Builder
	for _, item := range n.items {
		if item.kind != kindScalar {
			return "", false
		}
		b.WriteByte('[')
		b.WriteString(item.tag)
		b.WriteString(strconv.Itoa(len(item.text)))
		b.WriteByte(' ')
		b.WriteString(item.text)
	}
	return "[" + b.String(), true
}

func (r *treeReader) readScalar(n *node, y *yaml.Node) {
	n.tag = y.ShortTag()
	n.text = y.Value
	if n.tag != "!!null" {
		n.kind = kindScalar
	}
}

func (r *treeReader) readMapping(n *node, y *yaml.Node, path string, depth int) {
	n.kind = kindMapping
	n.fields = make(map[string]*node, len(y.Content)/2)
	for i := 0; i+1 < len(y.Content); i += 2 {
		key := y.Content[i]
		if !r.checkKey(n, key, path) {
			continue
		}
		child := r.readValue(y.Content[i+1], r.paths.field(path, key.Value), depth+1)
		if r.paths {
			child.pos = r.position(key)
		}
		n.set(key.Value, child)
	}
}

func (r *treeReader) checkKey(n *node, key *yaml.Node, path string) bool {
	switch {
	case key.Kind != yaml.ScalarNode || key.Anchor != "":
		r.reportFault(key, path, "a field name must be plain text", "a name")
		return false
	case key.ShortTag() == "!!merge":
		r.reportFault(key, path, "merge keys are not supported", "the value written out")
		return false
	}
	first, ok := n.fields[key.Value]
	if ok {
		r.reportFault(key, r.paths.field(path, key.Value),
			fmt.Sprintf("set twice in this file, first on line %d", first.pos.Line), "one of the two")
	}
	return !ok
}
