// Package lenient decodes JSON messages of other gateways of which a part can't be read.
// A bad field costs that field and a bad row that row, so that gateways of different
// builds, or with a fault in one figure, still hear each other.
//
// The struct tag "lenient" tells how a field is decoded once the whole message has failed
// to decode:
//
//	parts     the struct, or each struct of the list, is decoded field by field
//	columns   the lists of the struct are the columns of one table, and a row with an entry
//	          that can't be read is dropped from all of them
//	required  a struct of which this field can't be read, or is missing and not marked
//	          omitempty, is dropped as a whole
//
// Elements of lists and maps are decoded one by one, everything else as one value.
package lenient

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
)

// Problem is a part of a message that can't be read.
type Problem struct {
	// Path is the place of the part, such as "digests[1].rows[4]". It is empty if the
	// message ends early or is no JSON object.
	Path string
	Err  error
}

// String returns the path and the reason.
func (p Problem) String() string {
	if p.Path == "" {
		return p.Err.Error()
	}
	return p.Path + ": " + p.Err.Error()
}

// Decode decodes a JSON object into the struct that into points to, which must be zero. It
// returns the parts that can't be read. Of a message that ends early it decodes the fields
// before the end.
func Decode(data []byte, into any) []Problem {
	if json.Unmarshal(data, into) == nil {
		return nil
	}
	v := reflect.ValueOf(into).Elem()
	v.SetZero()
	problems, _ := decodeStruct(data, v, "")
	return problems
}

// DecodeList decodes a JSON array into list element by element, without those that can't be
// read.
func DecodeList[T any](data []byte, list *[]T) []Problem {
	if json.Unmarshal(data, list) == nil {
		return nil
	}
	*list = nil
	return decodeList(data, reflect.ValueOf(list).Elem(), "", false)
}

// decodeStruct decodes an object field by field. isUsable is false if a required field
// can't be read.
func decodeStruct(data []byte, v reflect.Value, path string) (problems []Problem, isUsable bool) {
	members, err := readObject(data)
	if err != nil {
		problems = append(problems, Problem{Path: path, Err: err})
	}
	isUsable = err == nil
	for _, f := range reflect.VisibleFields(v.Type()) {
		name, tag := jsonName(f), f.Tag.Get("lenient")
		if name == "" {
			continue
		}
		raw, ok := members[name]
		if !ok {
			isUsable = isUsable && (tag != "required" || strings.HasSuffix(f.Tag.Get("json"), ",omitempty"))
			continue
		}
		var found []Problem
		if field := v.FieldByIndex(f.Index); tag == "columns" {
			found = decodeColumns(raw, field, join(path, name))
		} else {
			found, _ = decodeField(raw, field, join(path, name), tag == "parts")
		}
		problems = append(problems, found...)
		if len(found) > 0 && tag == "required" {
			isUsable = false
		}
	}
	return problems, isUsable
}

// jsonName returns the name of a field in JSON, or "" if it isn't there.
func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	if f.Anonymous || !f.IsExported() || name == "-" {
		return ""
	}
	return name
}

// readObject returns the members of an object, and those before the first error.
func readObject(data []byte) (map[string]json.RawMessage, error) {
	members := make(map[string]json.RawMessage)
	dec := json.NewDecoder(bytes.NewReader(data))
	if t, err := dec.Token(); err != nil || t != json.Delim('{') {
		return members, errors.New("no JSON object")
	}
	for dec.More() {
		key, err := dec.Token()
		name, ok := key.(string)
		if err != nil || !ok {
			return members, errors.New("invalid JSON")
		}
		var raw json.RawMessage
		if err := dec.Decode(&raw); err != nil {
			return members, errors.New("invalid JSON in " + name)
		}
		members[name] = raw
	}
	if _, err := dec.Token(); err != nil {
		return members, errors.New("invalid JSON")
	}
	return members, nil
}

// decodeField decodes one field. With inParts set, structs are decoded field by field. v
// stays zero unless isUsable.
func decodeField(raw json.RawMessage, v reflect.Value, path string, inParts bool) (problems []Problem, isUsable bool) {
	isNull := string(raw) == "null"
	switch kind := v.Kind(); {
	case kind == reflect.Slice && !isNull && v.Type().Elem().Kind() != reflect.Uint8:
		problems = decodeList(raw, v, path, inParts)
		return problems, len(problems) == 0
	case kind == reflect.Map && !isNull:
		problems = decodeMap(raw, v, path)
		return problems, len(problems) == 0
	case kind == reflect.Pointer && inParts && !isNull:
		v.Set(reflect.New(v.Type().Elem()))
		problems, isUsable = decodeParts(raw, v.Elem(), path)
		if !isUsable {
			v.SetZero()
		}
		return problems, isUsable
	case kind == reflect.Struct && inParts:
		return decodeParts(raw, v, path)
	}
	problems = decodeWhole(raw, v, path)
	return problems, len(problems) == 0
}

// decodeParts decodes a struct field by field. It stays zero if a required field can't be
// read.
func decodeParts(raw json.RawMessage, v reflect.Value, path string) (problems []Problem, isUsable bool) {
	problems, isUsable = decodeStruct(raw, v, path)
	if !isUsable {
		v.SetZero()
	}
	if !isUsable && len(problems) == 0 {
		problems = []Problem{{Path: path, Err: errors.New("a required field is missing")}}
	}
	return problems, isUsable
}

// decodeWhole decodes one value, which stays zero if it can't be read.
func decodeWhole(raw json.RawMessage, v reflect.Value, path string) []Problem {
	if err := json.Unmarshal(raw, v.Addr().Interface()); err != nil {
		v.SetZero()
		return []Problem{{Path: path, Err: err}}
	}
	return nil
}

// decodeList decodes a list without the elements that can't be read.
func decodeList(raw json.RawMessage, v reflect.Value, path string, inParts bool) []Problem {
	var elements []json.RawMessage
	if err := json.Unmarshal(raw, &elements); err != nil {
		return []Problem{{Path: path, Err: errors.New("no list")}}
	}
	var problems []Problem
	out := reflect.MakeSlice(v.Type(), 0, len(elements))
	for i, element := range elements {
		e := reflect.New(v.Type().Elem()).Elem()
		found, isUsable := decodeField(element, e, fmt.Sprintf("%s[%d]", path, i), inParts)
		problems = append(problems, found...)
		if isUsable {
			out = reflect.Append(out, e)
		}
	}
	v.Set(out)
	return problems
}

// decodeMap decodes a map without the entries that can't be read.
func decodeMap(raw json.RawMessage, v reflect.Value, path string) []Problem {
	var entries map[string]json.RawMessage
	if err := json.Unmarshal(raw, &entries); err != nil {
		return []Problem{{Path: path, Err: errors.New("no object")}}
	}
	var problems []Problem
	out := reflect.MakeMapWithSize(v.Type(), len(entries))
	for key, value := range entries {
		one := reflect.New(v.Type())
		entry, err := json.Marshal(map[string]json.RawMessage{key: value})
		if err == nil {
			err = json.Unmarshal(entry, one.Interface())
		}
		if err != nil {
			problems = append(problems, Problem{Path: join(path, key), Err: err})
			continue
		}
		for e := one.Elem().MapRange(); e.Next(); {
			out.SetMapIndex(e.Key(), e.Value())
		}
	}
	v.Set(out)
	return problems
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
