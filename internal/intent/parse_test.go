package intent

import (
	"encoding/json"
	"fmt"
	"maps"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.yaml.in/yaml/v3"
)

// base is a valid configuration that test cases override in part.
const base = `regions:
  svealand: {data_centres: [sve-1]}
  norrland: {data_centres: [nor-1]}
  gotaland: {data_centres: [got-1]}
links:
  "*": {one_way: 55ms, megabits_per_second: 2000}
groups:
  assistant: {kind: engine, regions: [svealand, norrland]}
  booking: {kind: service, regions: [svealand]}
models:
  care: {groups: [assistant], max_prompt_tokens: 8000, max_output_tokens: 1000}
services:
  booking:
    group: booking
    calls:
      confirm: {path: /bookings/confirm}
      list: {method: GET, path: /bookings, repeatable: true}
customers:
  depot:
    home: svealand
    key_hashes: ["%s"]
`

func baseFile() File {
	return File{Name: "10-base.yaml", Content: fmt.Appendf(nil, base, HashAPIKey("key-1"))}
}

func parseWith(override string) (*Intent, Diagnostics) {
	return Parse([]File{{Name: "20-override.yaml", Content: []byte(override)}, baseFile()})
}

func TestParseDiagnostics(t *testing.T) {
	hash := HashAPIKey("key-1")
	cases := []struct {
		name, override, want string
	}{
		{"unknown field", "customers:\n  depot:\n    pririty: 3\n", `20-override.yaml:3:5: fault: customers.depot.pririty: unknown field; want "priority"`},
		{"unknown field set to null", "regoins: null\n", `20-override.yaml:1:1: fault: regoins: unknown field; want "regions"`},
		{"null removes nothing", "customers: {depto: null}", "20-override.yaml:1:13: warning: customers.depto: null removes nothing"},
		{"wrong type", "customers: {depot: {priority: high}}", `customers.depot.priority: is "high"; want a whole number`},
		{"mapping for list", "regions: {svealand: {data_centres: {a: 1}}}", "regions.svealand.data_centres: is a mapping; want a list"},
		{"null in list", "regions: {svealand: {data_centres: [~]}}", "regions.svealand.data_centres[0]: is null; want text"},
		{"number for text", "customers: {depot: {home: 3}}", `customers.depot.home: is "3"; want text`},
		{"duplicate key", "routing:\n  retry_ratio: 0.1\n  retry_ratio: 0.2\n", "20-override.yaml:3:3: fault: routing.retry_ratio: set twice in this file, first on line 2"},
		{"bad duration", "customers: {depot: {deadline: 30}}", `customers.depot.deadline: "30" is not a duration with a unit; want a duration such as 250ms or 2s`},
		{"negative duration", "customers: {depot: {deadline: -3s}}", `"-3s" is out of range; want 1ms to 1h`},
		{"priority", "customers: {depot: {priority: 10}}", `customers.depot.priority: "10" is out of range; want 0 to 9`},
		{"share", "routing: {max_away_share: 1.5}", `routing.max_away_share: "1.5" is out of range; want 0 to 1`},
		{"not a number", "routing: {max_away_share: .nan}", `routing.max_away_share: is ".nan"; want a number`},
		{"negative limit", "customers: {depot: {limits: {concurrent: -1}}}", `customers.depot.limits.concurrent: "-1" is out of range; want 0 or more`},
		{"unknown home", "customers: {depot: {home: svaeland}}", `customers.depot.home: unknown region "svaeland"; want "svealand"`},
		{"residency without home", "customers: {depot: {residency: [norrland]}}", `customers.depot.residency: excludes the home region "svealand"`},
		{"region listed twice", "customers: {depot: {residency: [svealand, svealand]}}", `customers.depot.residency[1]: "svealand" is listed twice`},
		{"bad hash", "customers: {depot: {key_hashes: [abc]}}", "customers.depot.key_hashes[0]: not a hex SHA-256 hash; want 64 hex digits"},
		{"hash twice", "customers: {other: {home: svealand, key_hashes: [" + strings.ToUpper(hash) + "]}}", "customers.other.key_hashes[0]: the same key hash as customers.depot.key_hashes[0]"},
		{"no key", "customers: {depot: {key_hashes: []}}", "warning: customers.depot.key_hashes: the customer has no API key"},
		{"unknown group", "models: {care: {groups: [assistent]}}", `models.care.groups[0]: unknown group "assistent"; want "assistant"`},
		{"group kind for model", "models: {care: {groups: [booking]}}", `models.care.groups[0]: group "booking" is of kind service; want a group of kind engine`},
		{"group kind for service", "services: {booking: {group: assistant}}", `services.booking.group: group "assistant" is of kind engine`},
		{"unknown kind", "groups: {booking: {kind: servcie}}", `groups.booking.kind: unknown kind "servcie"; want "service"`},
		{"reserved group", "groups: {gateway: {kind: service, regions: [svealand]}}", "groups.gateway: the name is reserved"},
		{"model limit missing", "models: {care: {max_prompt_tokens: null}}", "models.care.max_prompt_tokens: is missing"},
		{"GET not repeatable", "services: {booking: {calls: {list: {repeatable: false}}}}", "services.booking.calls.list.method: GET may be sent twice"},
		{"same route", "services: {booking: {calls: {again: {path: /bookings/confirm, repeatable: true}}}}", `services.booking.calls.confirm.path: the same method and path as call "again"`},
		{"path with dots", "services: {booking: {calls: {confirm: {path: /a/../b}}}}", "services.booking.calls.confirm.path: \"/a/../b\" is not a plain absolute path"},
		{"unknown method", "services: {booking: {calls: {confirm: {method: PSOT}}}}", `unknown method "PSOT"; want "POST"`},
		{"unserved model", "customers: {depot: {home: gotaland}}", `warning: customers.depot.residency: no region of the residency has a group of model "care"`},
		{"link order", "links: {svealand-norrland: {one_way: 5ms}}", `links.svealand-norrland: names no pair of declared regions; want "norrland-svealand": the two names in order`},
		{"link to unknown region", "links: {gotaland-selenge: {}}", "links.gotaland-selenge: names no pair of declared regions"},
		{"no default link", `links: {"*": null}`, "links.gotaland-norrland: no link is declared"},
		{"no region", "regions: null", "(folder): fault: regions: no region is declared"},
		{"weights", "routing: {weights: {tail_latency: 0, away_share: 0, cost: 0}}", "routing.weights: every weight is 0"},
		{"entry name", "regions: {Öland: {data_centres: [a]}}", `regions["Öland"]: not a valid name`},
		{"alias", "regions: {a: &x {data_centres: [a]}, b: *x}", "anchors and aliases are not supported"},
		{"merge key", "regions: {<<: {}}", "merge keys are not supported"},
		{"two documents", "regions: {}\n---\nregions: {}\n", "more than one document"},
		{"not a mapping", "- a\n", "the file is a list; want a mapping"},
		{"syntax", "regions: [a\nlinks: 2\n", "20-override.yaml:1:1: fault: not valid YAML: line 1"},
		{"depth", strings.Repeat("[", 40) + strings.Repeat("]", 40), "nested too deeply"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			in, diags := parseWith(c.override)
			require.Contains(t, diags.String(), c.want)
			require.Equal(t, diags.HasFaults(), in == nil)
		})
	}
}

func TestParseReportsEveryFaultAtOnce(t *testing.T) {
	in, diags := parseWith("regoins: {}\ncustomers: {depot: {priority: 12, home: nowhere}}\nmodels: {care: {groups: [x]}}\n")
	require.Nil(t, in)
	require.Len(t, diags.WithSeverity(Fault), 4, diags.String())
}

func TestParseReportsFaultsInOverriddenValues(t *testing.T) {
	files := []File{
		baseFile(),
		{Name: "20.yaml", Content: []byte("routing: {retry_ratio: lots}")},
		{Name: "30.yaml", Content: []byte("routing: {retry_ratio: 0.2}")},
	}
	_, diags := Parse(files)
	require.Contains(t, diags.String(), "20.yaml:1:11: fault: routing.retry_ratio")
}

func TestParseRefusesOversizeInput(t *testing.T) {
	for name, files := range map[string][]File{
		"file":  {{Name: "a.yaml", Content: make([]byte, MaxFileBytes+1)}},
		"files": make([]File, MaxFiles+1),
		"name":  {{Name: "../a.yaml"}},
		"twice": {baseFile(), baseFile()},
	} {
		in, diags := Parse(files)
		require.Nil(t, in, name)
		require.True(t, diags.HasFaults(), name)
	}
}

func TestParseMergesInTheOrderOfNames(t *testing.T) {
	in, diags := parseWith(`
regions: {gotaland: null}
customers:
  depot: {priority: 0, limits: {concurrent: 4}}
  other: {home: norrland, residency: [svealand, norrland], key_hashes: ["` + HashAPIKey("key-2") + `"]}
routing: {weights: {cost: 3}}
`)
	require.Empty(t, diags)
	require.Len(t, in.Regions, 2)
	require.Equal(t, 0, in.Customers["depot"].Priority)
	require.Equal(t, 4, in.Customers["depot"].Limits.MaxConcurrent)
	require.Equal(t, 5, in.Customers["other"].Priority)
	require.Equal(t, time.Minute, in.Customers["other"].Deadline.AsDuration())
	require.Equal(t, Weights{TailLatency: 1, ForwardShare: 1, Cost: 3}, in.Routing.Weights)
	require.Equal(t, "POST", in.Services["booking"].Calls["confirm"].Method)
	require.False(t, in.Services["booking"].Calls["confirm"].Idempotent)

	name, c, ok := in.CustomerByAPIKey("key-2")
	require.True(t, ok)
	require.Equal(t, "other", name)
	require.Equal(t, "norrland", c.HomeRegion)
	_, _, ok = in.CustomerByAPIKey("key-3")
	require.False(t, ok)
	require.Equal(t, map[string]bool{"svealand": true}, in.PermittedRegions("depot"))
	require.Equal(t, map[string]bool{"svealand": true, "norrland": true}, in.PermittedRegions("other"))
	require.Nil(t, in.PermittedRegions("nobody"))
	require.Equal(t, 55*time.Millisecond, in.LinkBetween("svealand", "norrland").OneWayDelay.AsDuration())
	require.Equal(t, in.LinkBetween("norrland", "svealand"), in.LinkBetween("svealand", "norrland"))
	require.Zero(t, in.LinkBetween("svealand", "svealand"))
}

func TestDurationRoundTrip(t *testing.T) {
	type holder struct {
		D Duration `yaml:"d" json:"d"`
	}
	want := holder{Duration(250 * time.Millisecond)}
	asJSON, err := json.Marshal(want)
	require.NoError(t, err)
	require.JSONEq(t, `{"d":"250ms"}`, string(asJSON))
	asYAML, err := yaml.Marshal(want)
	require.NoError(t, err)
	var fromJSON, fromYAML holder
	require.NoError(t, json.Unmarshal(asJSON, &fromJSON))
	require.NoError(t, yaml.Unmarshal(asYAML, &fromYAML))
	require.Equal(t, want, fromJSON)
	require.Equal(t, want, fromYAML)
	require.Error(t, json.Unmarshal([]byte(`{"d":5}`), &fromJSON))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(base), []byte("routing: {weights: null}"))
	f.Add([]byte("a: &a [*a]"), []byte("? {a: b}\n: c"))
	f.Add([]byte("<<: [{}]\n"), []byte("regions: !!binary x"))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		files := []File{{Name: "1.yaml", Content: first}, {Name: "2.yaml", Content: second}}
		in, diags := Parse(files)
		require.Equal(t, diags.HasFaults(), in == nil)
		warm := NewCachingParser()
		warm.Parse([]File{{Name: "1.yaml", Content: second}, {Name: "2.yaml", Content: first}})
		again, againDiags := warm.Parse(files)
		require.Equal(t, diags.HasFaults(), againDiags.HasFaults())
		changes, err := Diff(in, again)
		require.NoError(t, err)
		require.Empty(t, changes)
		_, withPaths := parseWithPaths(files)
		require.Equal(t, diags, withPaths)
		if in == nil {
			return
		}
		for name, c := range in.Customers {
			require.True(t, in.PermittedRegions(name)[c.HomeRegion])
		}
	})
}

func BenchmarkCustomerByKey(b *testing.B) {
	in, _ := Parse([]File{baseFile()})
	b.ReportAllocs()
	for b.Loop() {
		in.CustomerByAPIKey("key-1")
	}
}

// manyCustomers returns a configuration with n customers in files of at most 500,
// 13 regions and 18 models.
func manyCustomers(n int) []File {
	var regions, models strings.Builder
	regions.WriteString("regions:\n")
	var names []string
	for i := range 13 {
		names = append(names, fmt.Sprintf("region-%02d", i))
		fmt.Fprintf(&regions, "  region-%02d: {data_centres: [dc-1, dc-2, dc-3]}\n", i)
	}
	list := strings.Join(names, ", ")
	fmt.Fprintf(&regions, "links: {'*': {}}\ngroups: {engines: {kind: engine, regions: [%s]}}\nmodels:\n", list)
	for i := range 18 {
		fmt.Fprintf(&models, "  model-%02d: {groups: [engines], max_prompt_tokens: 8000, max_output_tokens: 1000}\n", i)
	}
	files := []File{{Name: "10-base.yaml", Content: []byte(regions.String() + models.String())}}
	for first := 0; first < n; first += 500 {
		var b strings.Builder
		b.WriteString("customers:\n")
		for i := first; i < min(n, first+500); i++ {
			fmt.Fprintf(&b, "  customer-%d: {home: region-%02d, residency: [%s], priority: 4, key_hashes: [%s]}\n",
				i, i%13, list, HashAPIKey(fmt.Sprint(i)))
		}
		files = append(files, File{Name: fmt.Sprintf("40-%05d.yaml", first), Content: []byte(b.String())})
	}
	return files
}

func TestParserReadsOnlyChangedFiles(t *testing.T) {
	p := NewCachingParser()
	files := manyCustomers(1000)
	first, diags := p.Parse(files)
	require.Empty(t, diags)
	kept := maps.Clone(p.trees)
	require.Len(t, kept, 3)

	files[2].Content = []byte(strings.Replace(string(files[2].Content), "priority: 4", "priority: 6", 1))
	second, diags := p.Parse(files)
	require.Empty(t, diags)
	changes, err := Diff(first, second)
	require.NoError(t, err)
	require.Equal(t, []FieldChange{{Path: "customers.customer-500.priority", Old: "4", New: "6"}}, changes)
	require.Len(t, p.trees, 3, "the old file is removed from the cache")
	same := 0
	for digest, tree := range p.trees {
		if kept[digest] == tree {
			same++
		}
	}
	require.Equal(t, 2, same, "unchanged files are not read again")

	files = append(files, File{Name: "60.yaml", Content: []byte("customers: {customer-0: {key_hashes: []}}")})
	third, diags := p.Parse(files)
	require.NotNil(t, third)
	require.Empty(t, diags, "warnings are left out")
	require.Len(t, p.trees, 4)
	files[3].Content = []byte("customers: {customer-0: {home: nowhere}}")
	third, diags = p.Parse(files)
	require.Nil(t, third)
	require.Contains(t, diags.String(), `60.yaml:1:26: fault: customers.customer-0.home: unknown region "nowhere"`)
	files = files[:3]

	whole, _ := Parse(files)
	changes, err = Diff(whole, second)
	require.NoError(t, err)
	require.Empty(t, changes)
}

// liveBytes returns the size of the live heap after a garbage collection.
func liveBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func BenchmarkParse(b *testing.B) {
	for _, n := range []int{750, 1500, 3000, 6000} {
		b.Run(fmt.Sprintf("customers=%d", n), func(b *testing.B) {
			files := manyCustomers(n)
			b.ReportAllocs()
			before := liveBytes()
			var kept *Intent
			for b.Loop() {
				in, diags := Parse(files)
				require.Empty(b, diags)
				kept = in
			}
			b.ReportMetric(float64(liveBytes()-before), "live-B")
			require.Len(b, kept.Customers, n)
		})
	}
}

// BenchmarkParserOneFileChanged parses a configuration after a change to one file,
// which has 500 customers.
func BenchmarkParserOneFileChanged(b *testing.B) {
	for _, n := range []int{750, 1500, 3000, 6000} {
		b.Run(fmt.Sprintf("customers=%d", n), func(b *testing.B) {
			files := manyCustomers(n)
			original := files[1].Content
			before := liveBytes()
			p := NewCachingParser()
			var kept *Intent
			p.Parse(files)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				files[1].Content = fmt.Appendf(nil, "%s# %d", original, i)
				kept, _ = p.Parse(files)
			}
			b.ReportMetric(float64(liveBytes()-before), "live-B")
			require.Len(b, kept.Customers, n)
			runtime.KeepAlive(p)
		})
	}
}
