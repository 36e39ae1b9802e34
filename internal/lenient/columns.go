package lenient

import (
	"encoding/json"
	"reflect"
	"slices"

	"github.com/cockroachdb/errors"
)

// decodeColumns decodes a struct of lists that are the columns of one table, without the
// rows that can't be read. All columns have to be as long as the longest one.
func decodeColumns(raw json.RawMessage, v reflect.Value, path string) []Problem {
	var columns map[string][]json.RawMessage
	if err := json.Unmarshal(raw, &columns); err != nil {
		return []Problem{{Path: path, Err: errors.New("no object of lists")}}
	}
	rows := 0
	for _, column := range columns {
		rows = max(rows, len(column))
	}
	var problems []Problem
	bad := make([]bool, rows)
	decoded := reflect.New(v.Type()).Elem()
	for _, f := range reflect.VisibleFields(v.Type()) {
		name := jsonName(f)
		if name == "" {
			continue
		}
		field := decoded.FieldByIndex(f.Index)
		field.Set(reflect.MakeSlice(f.Type, rows, rows))
		for i := range rows {
			if i >= len(columns[name]) {
				bad[i] = true
				continue
			}
			found := decodeWhole(columns[name][i], field.Index(i), join(path, name))
			bad[i] = bad[i] || len(found) > 0
			problems = append(problems, found...)
		}
	}
	if slices.Contains(bad, true) && len(problems) == 0 {
		problems = []Problem{{Path: path, Err: errors.New("columns of different lengths")}}
	}
	for _, f := range reflect.VisibleFields(v.Type()) {
		if jsonName(f) == "" {
			continue
		}
		column := v.FieldByIndex(f.Index)
		for i := range rows {
			if !bad[i] {
				column.Set(reflect.Append(column, decoded.FieldByIndex(f.Index).Index(i)))
			}
		}
	}
	return problems
}
