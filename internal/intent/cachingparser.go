package intent

import (
	"crypto/sha256"
	"reflect"
	"sync"
)

// CachingParser parses successive configurations and reads only the files that
// changed since the previous one. It is safe for concurrent use.
type CachingParser struct {
	mu sync.Mutex
	// trees caches the trees of the latest configuration's files that have no
	// diagnostics, by the digest of the file's content. They are immutable.
	trees map[[sha256.Size]byte]*node
}

// NewCachingParser returns a parser with an empty cache.
func NewCachingParser() *CachingParser { return &CachingParser{} }

// Parse is like the function Parse, but omits the warnings of a configuration
// without faults: locating them takes a second, full parse, and operators have
// seen them when they published the configuration.
func (p *CachingParser) Parse(files []File) (*Intent, Diagnostics) {
	p.mu.Lock()
	defer p.mu.Unlock()
	used := make(map[[sha256.Size]byte]*node, len(files))
	in, diags := parse(files, pathsOff, func(f File) (*node, Diagnostics) { return p.cachedTree(f, used) })
	p.trees = used
	if !diags.HasFaults() {
		return in, nil
	}
	return parseWithPaths(files)
}

// cachedTree returns a file's tree from the cache, or reads the file, and records the
// tree in used, the cache for the next call.
func (p *CachingParser) cachedTree(f File, used map[[sha256.Size]byte]*node) (*node, Diagnostics) {
	digest := sha256.Sum256(f.Content)
	if tree, ok := p.trees[digest]; ok {
		used[digest] = tree
		return tree, nil
	}
	tree, diags := readFile(f, pathsOff)
	if len(diags) == 0 {
		used[digest] = tree
	}
	return tree, diags
}

// readFile reads one file and checks it against the Intent type. It reports
// unknown fields and invalid values, including those that a later file overrides.
func readFile(f File, p pathBuilder) (*node, Diagnostics) {
	tree, diags := readTree(f, p)
	if tree == nil {
		return nil, diags
	}
	d := newDecoder(p)
	d.decodeValue(tree, reflect.ValueOf(&Intent{}).Elem(), "", "")
	return tree, append(diags, d.diags...)
}
