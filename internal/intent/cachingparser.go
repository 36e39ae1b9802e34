package intent

import (
	"crypto/sha256"
	"reflect"
	"sync"
)

// CachingParser parses one configuration after another and reads only the files that
// have changed since the one before. It may be used by several goroutines.
type CachingParser struct {
	mu sync.Mutex
	// trees holds the files without findings of the newest configuration, by
	// the digest of their content. They are never changed.
	trees map[[sha256.Size]byte]*node
}

// NewCachingParser returns a parser that knows no file yet.
func NewCachingParser() *CachingParser { return &CachingParser{} }

// Parse does what the function Parse does, but leaves out the warnings of a
// configuration without faults: finding their places takes a whole parse, and
// operators have seen them when they published it.
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

// cachedTree returns a file's tree from the cache or reads it, and notes it in used.
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

// readFile reads one file and checks it against the types: unknown fields and
// bad values, also those that a later file overrides.
func readFile(f File, p pathBuilder) (*node, Diagnostics) {
	tree, diags := readTree(f, p)
	if tree == nil {
		return nil, diags
	}
	d := newDecoder(p)
	d.decodeValue(tree, reflect.ValueOf(&Intent{}).Elem(), "", "")
	return tree, append(diags, d.diags...)
}
