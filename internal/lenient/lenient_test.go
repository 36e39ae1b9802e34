package lenient

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// count is a number that can't be negative.
type count int

func (c *count) UnmarshalJSON(data []byte) error {
	var n int
	if err := json.Unmarshal(data, &n); err != nil || n < 0 {
		return errors.New("not a count")
	}
	*c = count(n)
	return nil
}

type base struct {
	ID string `json:"id" lenient:"required"`
}

type row struct {
	base
	N count `json:"n"`
}

type group struct {
	Name string `json:"name" lenient:"required"`
	Rows []row  `json:"rows"`
}

type digest struct {
	Names []string `json:"names"`
}

type table struct {
	IDs    []string `json:"i,omitempty"`
	Counts []count  `json:"c,omitempty"`
}

type message struct {
	From   row              `json:"from" lenient:"parts"`
	Rows   []row            `json:"rows,omitempty"`
	Groups []group          `json:"groups" lenient:"parts"`
	Digest *digest          `json:"digest" lenient:"parts"`
	Whole  *digest          `json:"whole"`
	Sizes  map[string]count `json:"sizes"`
	Table  table            `json:"table" lenient:"columns"`
	Last   bool             `json:"last"`
}

func paths(problems []Problem) (out []string) {
	for _, p := range problems {
		out = append(out, p.Path)
	}
	return out
}

// TestBadPartsCostOnlyThemselves guards against a message that is dropped for one bad field.
func TestBadPartsCostOnlyThemselves(t *testing.T) {
	good := row{base: base{ID: "a"}, N: 1}
	tests := []struct {
		name, body string
		want       message
		problems   []string
	}{
		{"nothing is bad", `{"from":{"id":"a","n":1},"last":true}`, message{From: good, Last: true}, nil},
		{"row", `{"rows":[{"id":"a","n":1},{"id":"b","n":-1},7],"last":true}`, message{Rows: []row{good}, Last: true}, []string{"rows[1]", "rows[2]"}},
		{"list", `{"rows":{"id":"a"},"last":true}`, message{Last: true}, []string{"rows"}},
		{"optional field", `{"from":{"id":"a","n":-1},"last":true}`, message{From: row{base: base{ID: "a"}}, Last: true}, []string{"from.n"}},
		{"required field", `{"from":{"id":7,"n":1},"last":true}`, message{Last: true}, []string{"from.id"}},
		{"missing required field", `{"from":{"n":1},"last":7}`, message{}, []string{"from", "last"}},
		{"row of a group", `{"groups":[{"name":"g","rows":[{"id":"b","n":-1},{"id":"a","n":1}]}]}`, message{Groups: []group{{Name: "g", Rows: []row{good}}}}, []string{"groups[0].rows[0]"}},
		{"name of a group", `{"groups":[{"name":7,"rows":[{"id":"a","n":1}]},{"name":"g"}]}`, message{Groups: []group{{Name: "g"}}}, []string{"groups[0].name"}},
		{"part of a pointer", `{"digest":{"names":["x",7]}}`, message{Digest: &digest{Names: []string{"x"}}}, []string{"digest.names[1]"}},
		{"whole of a pointer", `{"whole":{"names":["x",7]},"last":true}`, message{Last: true}, []string{"whole"}},
		{"empty pointer", `{"digest":{},"last":7}`, message{Digest: &digest{}}, []string{"last"}},
		{"null", `{"rows":null,"digest":null,"from":null,"sizes":null,"last":7}`, message{}, []string{"from", "last"}},
		{"map entry", `{"sizes":{"a":1,"b":-1}}`, message{Sizes: map[string]count{"a": 1}}, []string{"sizes.b"}},
		{"row of columns", `{"table":{"i":["a","b","c"],"c":[1,-1,3]}}`, message{Table: table{[]string{"a", "c"}, []count{1, 3}}}, []string{"table.c"}},
		{"short column", `{"table":{"i":["a","b"],"c":[1]},"last":7}`, message{Table: table{[]string{"a"}, []count{1}}}, []string{"table", "last"}},
		{"no columns", `{"table":7,"last":true}`, message{Last: true}, []string{"table"}},
		{"cut off", `{"from":{"id":"a","n":1},"rows":[{"id":"a"`, message{From: good}, []string{""}},
		{"cut off between fields", `{"from":{"id":"a","n":1}`, message{From: good}, []string{""}},
		{"no object", `[1]`, message{}, []string{""}},
		{"no JSON", "\x00\xff", message{}, []string{""}},
		{"empty", "", message{}, []string{""}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got message
			problems := Decode([]byte(tt.body), &got)
			require.ElementsMatch(t, tt.problems, paths(problems))
			require.Equal(t, tt.want, got)
		})
	}
}

func TestDecodeListLeavesOutBadElements(t *testing.T) {
	var got []row
	require.Empty(t, DecodeList([]byte(`[{"id":"a","n":1}]`), &got))
	require.Len(t, got, 1)
	require.Equal(t, []string{"[0]"}, paths(DecodeList([]byte(`[{"id":7},{"id":"a","n":1}]`), &got)))
	require.Equal(t, []row{{base: base{ID: "a"}, N: 1}}, got)
	require.Equal(t, []string{""}, paths(DecodeList([]byte(`{}`), &got)))
	require.Empty(t, got)
}

// TestReportIsSmall guards against a report that doesn't fit into a datagram.
func TestReportIsSmall(t *testing.T) {
	var problems []Problem
	for range 1000 {
		problems = append(problems, Problem{Path: "rows", Err: errors.New(strings.Repeat("x", 1000))})
	}
	r := NewReport(problems)
	require.Equal(t, 1000, r.Count)
	body, err := json.Marshal(r)
	require.NoError(t, err)
	require.Less(t, len(body), 1000)
}

// FuzzDecode guards against a panic on what any sender may send.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"from":{"id":"a","n":-1},"groups":[{"rows":[null]}],"digest":{},"sizes":{"a":null}}`))
	f.Fuzz(func(_ *testing.T, body []byte) {
		var m message
		Decode(body, &m)
	})
}
