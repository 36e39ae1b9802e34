package peerfetch

import (
	"bytes"
	"compress/gzip"
	"sync"
)

// encodingGzip is the content coding that an http.Transport accepts and decodes by itself.
const encodingGzip = "gzip"

// compressedRoutes keeps the compressed form of the configuration that was asked for last: all
// gateways of a region fetch a new version from one at about the same time.
type compressedRoutes struct {
	mu         sync.Mutex
	plain      []byte
	compressed []byte
}

// of returns the compressed form of plain, which must not be changed any more.
func (c *compressedRoutes) of(plain []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(plain) == len(c.plain) && (len(plain) == 0 || &plain[0] == &c.plain[0]) && c.compressed != nil {
		return c.compressed
	}
	var out bytes.Buffer
	// Writes to a bytes.Buffer don't fail, and BestSpeed is a valid level.
	w, _ := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	_, _ = w.Write(plain)
	_ = w.Close()
	c.plain, c.compressed = plain, out.Bytes()
	return c.compressed
}
