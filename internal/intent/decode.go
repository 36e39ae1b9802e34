package intent

import (
	"fmt"
	"math"
	"reflect"
	"strconv"
)

// Struct tags that the decoder reads in addition to "yaml".
const (
	// tagDefault holds the value of a field that no file sets.
	tagDefault = "default"
	// tagMin and tagMax hold the inclusive bounds of a number or duration.
	tagMin = "min"
	tagMax = "max"
)

var durationType = reflect.TypeFor[Duration]()

// decoder fills Go values from nodes. It reports unknown fields, wrong types and
// values out of range, and records the source position of each value.
type decoder struct {
	paths pathBuilder
	diags Diagnostics
	// positions maps the paths of decoded values to their source positions.
	positions map[string]Position
	// fieldIndexes caches the results of fieldIndexesOf.
	fieldIndexes map[reflect.Type]map[string]int
}

func newDecoder(p pathBuilder) *decoder {
	return &decoder{
		paths:        p,
		positions:    make(map[string]Position),
		fieldIndexes: make(map[reflect.Type]map[string]int),
	}
}

func (d *decoder) reportFault(n *node, path, problem, want string) {
	d.diags = append(d.diags, Diagnostic{
		Severity: Fault,
		Position: n.pos,
		Path:     path,
		Problem:  problem,
		Want:     want,
	})
}

// decodeValue fills v from n. Nulls in mappings never reach it, so that the field
// keeps its default; a null elsewhere is a fault.
func (d *decoder) decodeValue(n *node, v reflect.Value, path string, tag reflect.StructTag) {
	if d.paths {
		d.positions[path] = n.pos
	}
	switch {
	case v.Type() == durationType:
		d.decodeDuration(n, v, path, tag)
	case v.Kind() == reflect.Struct:
		d.decodeStruct(n, v, path)
	case v.Kind() == reflect.Map:
		d.decodeMap(n, v, path)
	case v.Kind() == reflect.Slice:
		d.decodeList(n, v, path)
	default:
		d.decodeScalar(n, v, path, tag)
	}
}

func (d *decoder) expectKind(n *node, path string, want nodeKind) bool {
	if n.kind == want {
		return true
	}
	d.reportFault(n, path, "is "+describeNode(n), want.String())
	return false
}

func describeNode(n *node) string {
	if n.kind == kindScalar {
		return strconv.Quote(truncate(n.text))
	}
	return n.kind.String()
}

// maxShownBytes is the length to which diagnostics truncate a value.
const maxShownBytes = 60

func truncate(s string) string {
	if len(s) <= maxShownBytes {
		return s
	}
	return s[:maxShownBytes] + "..."
}

func (d *decoder) decodeStruct(n *node, v reflect.Value, path string) {
	d.setDefaults(v)
	if !d.expectKind(n, path, kindMapping) {
		return
	}
	names := d.fieldIndexesOf(v.Type())
	for _, key := range n.keys {
		child := n.fields[key]
		childPath := d.paths.field(path, key)
		i, ok := names[key]
		if !ok {
			d.reportFault(child, childPath, "unknown field", suggestOneOf(key, keysOf(names)))
			continue
		}
		if child.kind == kindNull {
			continue
		}
		d.decodeValue(child, v.Field(i), childPath, v.Type().Field(i).Tag)
	}
}

// setDefaults sets the fields of v that have a default tag, including those of
// nested structs.
func (d *decoder) setDefaults(v reflect.Value) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if !field.IsExported() {
			continue
		}
		if field.Type.Kind() == reflect.Struct {
			d.setDefaults(v.Field(i))
		}
		text, ok := field.Tag.Lookup(tagDefault)
		if ok {
			d.setFromText(v.Field(i), text)
		}
	}
}

func (d *decoder) setFromText(v reflect.Value, text string) bool {
	if v.Type() == durationType {
		parsed, err := ParseDuration(text)
		v.SetInt(int64(parsed))
		return err == nil
	}
	switch v.Kind() {
	case reflect.Int:
		i, err := strconv.Atoi(text)
		v.SetInt(int64(i))
		return err == nil
	case reflect.Float64:
		f, err := strconv.ParseFloat(text, 64)
		v.SetFloat(f)
		return err == nil && !math.IsNaN(f) && !math.IsInf(f, 0)
	case reflect.Bool:
		b, err := strconv.ParseBool(text)
		v.SetBool(b)
		return err == nil
	case reflect.String:
		v.SetString(text)
		return true
	}
	return false
}

// fieldIndexesOf maps the YAML names of a struct type's fields to their indexes.
func (d *decoder) fieldIndexesOf(t reflect.Type) map[string]int {
	if names, ok := d.fieldIndexes[t]; ok {
		return names
	}
	names := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		if name := t.Field(i).Tag.Get("yaml"); name != "" {
			names[name] = i
		}
	}
	d.fieldIndexes[t] = names
	return names
}

func keysOf[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	return keys
}

func (d *decoder) decodeMap(n *node, v reflect.Value, path string) {
	if !d.expectKind(n, path, kindMapping) {
		return
	}
	v.Set(reflect.MakeMapWithSize(v.Type(), len(n.keys)))
	for _, key := range n.keys {
		child := n.fields[key]
		if child.kind == kindNull {
			continue
		}
		item := reflect.New(v.Type().Elem()).Elem()
		d.decodeValue(child, item, d.paths.field(path, key), "")
		v.SetMapIndex(reflect.ValueOf(key), item)
	}
}

func (d *decoder) decodeList(n *node, v reflect.Value, path string) {
	if !d.expectKind(n, path, kindList) {
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(n.items), len(n.items)))
	for i, item := range n.items {
		d.decodeValue(item, v.Index(i), d.paths.item(path, i), "")
	}
}

func (d *decoder) decodeDuration(n *node, v reflect.Value, path string, tag reflect.StructTag) {
	if n.kind != kindScalar || !d.setFromText(v, n.text) {
		v.SetInt(0)
		d.reportFault(n, path, describeNode(n)+" is not a duration with a unit", "a duration such as 250ms or 2s")
		return
	}
	low, _ := ParseDuration(tag.Get(tagMin))
	high, err := ParseDuration(tag.Get(tagMax))
	if err != nil {
		high = math.MaxInt64
	}
	got := Duration(v.Int())
	if got < low || got > high {
		d.reportFault(n, path, describeNode(n)+" is out of range", describeRange(tag))
	}
}

// kindDescriptions describes the expected scalar of each Go kind in diagnostics.
var kindDescriptions = map[reflect.Kind]string{
	reflect.Int:     "a whole number",
	reflect.Float64: "a number",
	reflect.Bool:    "true or false",
	reflect.String:  "text",
}

// acceptedTags lists the YAML tags that each Go kind accepts.
var acceptedTags = map[reflect.Kind][]string{
	reflect.Int:     {"!!int"},
	reflect.Float64: {"!!int", "!!float"},
	reflect.Bool:    {"!!bool"},
	reflect.String:  {"!!str"},
}

func (d *decoder) decodeScalar(n *node, v reflect.Value, path string, tag reflect.StructTag) {
	if !d.setScalar(n, v) {
		v.SetZero()
		d.reportFault(n, path, "is "+describeNode(n), kindDescriptions[v.Kind()])
		return
	}
	if !isInRange(v, tag) {
		d.reportFault(n, path, describeNode(n)+" is out of range", describeRange(tag))
	}
}

func (d *decoder) setScalar(n *node, v reflect.Value) bool {
	if n.kind != kindScalar {
		return false
	}
	for _, t := range acceptedTags[v.Kind()] {
		if n.tag == t {
			return d.setFromText(v, n.text)
		}
	}
	return false
}

func isInRange(v reflect.Value, tag reflect.StructTag) bool {
	var got float64
	switch v.Kind() {
	case reflect.Int:
		got = float64(v.Int())
	case reflect.Float64:
		got = v.Float()
	default:
		return true
	}
	if low, err := strconv.ParseFloat(tag.Get(tagMin), 64); err == nil && got < low {
		return false
	}
	high, err := strconv.ParseFloat(tag.Get(tagMax), 64)
	return err != nil || got <= high
}

func describeRange(tag reflect.StructTag) string {
	low, high := tag.Get(tagMin), tag.Get(tagMax)
	switch {
	case high == "":
		return fmt.Sprintf("%s or more", low)
	case low == "":
		return fmt.Sprintf("%s or less", high)
	}
	return fmt.Sprintf("%s to %s", low, high)
}
