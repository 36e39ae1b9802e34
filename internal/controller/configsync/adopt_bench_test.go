package configsync_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/intent"
	"github.com/hickorystage/hickorystage/internal/intent/revision"
)

// customersPerFile is the number of customers per file of the benchmark.
const customersPerFile = 100

// sampleFiles returns the files of an example configuration and n more customers.
func sampleFiles(tb testing.TB, n int) []revision.File {
	var files []revision.File
	add := func(name, content string) {
		files = append(files, revision.File{Name: name, SHA256: revision.Digest([]byte(content)), Content: []byte(content)})
	}
	paths, err := filepath.Glob("../../../examples/luftvard/*.yaml")
	require.NoError(tb, err)
	for _, path := range paths {
		content, err := os.ReadFile(path)
		require.NoError(tb, err)
		add(filepath.Base(path), string(content))
	}
	for first := 0; first < n; first += customersPerFile {
		text := strings.Builder{}
		text.WriteString("customers:\n")
		for i := first; i < first+customersPerFile; i++ {
			hash := revision.Digest([]byte(fmt.Sprint(i)))
			fmt.Fprintf(&text, "  shop-%05d:\n    key_hashes: [%s]\n    home: svealand\n    priority: 5\n    deadline: 45s\n", i, hash)
			text.WriteString("    limits: {requests_per_second: 20, tokens_per_second: 4000, concurrent: 60}\n")
		}
		add(fmt.Sprintf("70-shops-%05d.yaml", first), text.String())
	}
	slices.SortFunc(files, func(a, b revision.File) int { return strings.Compare(a.Name, b.Name) })
	return files
}

// BenchmarkAdopt measures the adoption of a delta with one changed file from a peer:
// verification, parse and encoding of the new snapshot. It reports the bytes that
// the peer sends and the heap that the revision occupies.
func BenchmarkAdopt(b *testing.B) {
	for _, customers := range []int{100, 600, 2000, 6000} {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			files := sampleFiles(b, customers)
			head := revision.Head{Revision: 7, ChangeID: "change"}
			known := map[string][]byte{}
			var have []string
			for i, f := range files {
				head.Files = append(head.Files, revision.FileRef{Name: f.Name, SHA256: f.SHA256})
				if i < len(files)-1 {
					known[f.SHA256] = f.Content
					have = append(have, f.SHA256)
				}
			}
			raw, err := head.Encode()
			require.NoError(b, err)
			v, err := revision.Verify(raw, files)
			require.NoError(b, err)
			whole, err := v.Snapshot()
			require.NoError(b, err)
			sent, err := revision.MakeDelta(whole, have)
			require.NoError(b, err)
			before := heapInUse()
			in, snapshot := adoptOnce(b, sent, known)
			heapBytes := heapInUse() - before
			b.ReportAllocs()
			for b.Loop() {
				adoptOnce(b, sent, known)
			}
			b.ReportMetric(float64(len(sent)), "peer-bytes")
			b.ReportMetric(float64(heapBytes), "held-bytes")
			runtime.KeepAlive(in)
			runtime.KeepAlive(snapshot)
		})
	}
}

// BenchmarkServeSnapshot measures the response to a peer that lacks one file.
func BenchmarkServeSnapshot(b *testing.B) {
	for _, customers := range []int{100, 600, 2000, 6000} {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			s := revision.Snapshot{Files: sampleFiles(b, customers)}
			var have []string
			for _, f := range s.Files[1:] {
				have = append(have, f.SHA256)
			}
			raw, err := json.Marshal(s)
			require.NoError(b, err)
			b.ReportAllocs()
			for b.Loop() {
				_, err := revision.MakeDelta(raw, have)
				require.NoError(b, err)
			}
		})
	}
}

func adoptOnce(b *testing.B, sent []byte, known map[string][]byte) (*intent.Intent, []byte) {
	v, err := revision.ParseDelta(sent, known)
	require.NoError(b, err)
	files := make([]intent.File, 0, len(v.Files))
	for _, f := range v.Files {
		files = append(files, intent.File{Name: f.Name, Content: f.Content})
	}
	in, diags := intent.Parse(files)
	require.False(b, diags.HasFaults(), diags.String())
	snapshot, err := v.Snapshot()
	require.NoError(b, err)
	return in, snapshot
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
