package relay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// poolShards is the number of shards of the pools' map.
const poolShards = 16

// Sizes of the buffers of a connection, in bytes. A stream holds its
// connection for as long as it lasts and moves a few hundred bytes at a time.
const (
	readBufferBytes  = 2 << 10
	writeBufferBytes = 1 << 10
)

// connPools holds the connections to every endpoint, one pool for each address.
type connPools struct {
	settings *Settings
	shards   [poolShards]connPoolShard
}

type connPoolShard struct {
	mu    sync.Mutex
	pools map[string]*connPool
}

// connPool holds the connections to one endpoint. kept reuses idle connections;
// fresh makes a new one for each request and keeps none.
type connPool struct {
	keepAlive *http.Transport
	singleUse *http.Transport
	// silent is set by an attempt that met a silent connection, and unset by
	// the next whole answer.
	silent atomic.Bool
}

func newConnPools(s *Settings) *connPools {
	p := &connPools{settings: s}
	for i := range p.shards {
		p.shards[i].pools = make(map[string]*connPool)
	}
	return p
}

func (p *connPools) shard(address string) *connPoolShard {
	return &p.shards[xxhash.Sum64String(address)%poolShards]
}

func (p *connPools) get(address string) *connPool {
	sh := p.shard(address)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if c, ok := sh.pools[address]; ok {
		return c
	}
	c := newConnPool(p.settings)
	sh.pools[address] = c
	return c
}

// forget closes the idle connections to address and drops its pool.
func (p *connPools) forget(address string) {
	sh := p.shard(address)
	sh.mu.Lock()
	c, ok := sh.pools[address]
	delete(sh.pools, address)
	sh.mu.Unlock()
	if ok {
		c.closeIdle()
	}
}

func (p *connPools) close() {
	for i := range p.shards {
		sh := &p.shards[i]
		sh.mu.Lock()
		for _, c := range sh.pools {
			c.closeIdle()
		}
		sh.mu.Unlock()
	}
}

func newConnPool(s *Settings) *connPool {
	kept := newTransport(s)
	kept.MaxIdleConnsPerHost = s.MaxIdleConns
	kept.IdleConnTimeout = s.IdleConnTimeout
	fresh := newTransport(s)
	fresh.DisableKeepAlives = true
	return &connPool{keepAlive: kept, singleUse: fresh}
}

// newTransport returns a transport that speaks HTTP/1.1 only, so that each
// stream has a connection of its own.
func newTransport(s *Settings) *http.Transport {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, s.DialTimeout)
			defer cancel()
			return s.Dial(ctx, network, address)
		},
		DisableCompression: true,
		ReadBufferSize:     readBufferBytes,
		WriteBufferSize:    writeBufferBytes,
		Protocols:          &protocols,
	}
}

func (c *connPool) transport(fresh bool) *http.Transport {
	if fresh {
		return c.singleUse
	}
	return c.keepAlive
}

// recordResult keeps whether connections to the endpoint are silent, and returns
// whether that has changed.
func (c *connPool) recordResult(kind ResultKind) bool {
	switch kind {
	case ResultConnSilent, ResultEndpointSilent:
		return c.silent.CompareAndSwap(false, true)
	case ResultOK:
		return c.silent.CompareAndSwap(true, false)
	default:
		return false
	}
}

// closeIdle closes every idle connection to the endpoint.
func (c *connPool) closeIdle() { c.keepAlive.CloseIdleConnections() }
