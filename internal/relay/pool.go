package relay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorystage/hickorystage/internal/transport"
)

// poolShards is the number of shards of the map of pools.
const poolShards = 16

// Sizes of the buffers of a connection. They are small, since each stream
// occupies a connection while it lasts and transfers a few hundred bytes at a
// time.
const (
	readBufferBytes  = 2 << 10
	writeBufferBytes = 1 << 10
)

// connPools holds the connection pools of all endpoints, one for each address.
// It is safe for concurrent use.
type connPools struct {
	settings *Settings
	shards   [poolShards]connPoolShard
}

type connPoolShard struct {
	mu    sync.Mutex
	pools map[string]*connPool
}

// connPool holds the connections to one endpoint. keepAlive reuses idle
// connections; singleUse opens a new one for each request and closes it after
// the response.
type connPool struct {
	keepAlive transport.CheckedTransport
	singleUse transport.CheckedTransport
	// silent is set by an attempt that timed out on a silent connection, and
	// cleared by the next complete response.
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

// forget closes the idle connections to address and removes its pool.
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
	keepAlive := newTransport(s)
	keepAlive.MaxIdleConnsPerHost = s.MaxIdleConns
	keepAlive.IdleConnTimeout = s.IdleConnTimeout
	singleUse := newTransport(s)
	singleUse.DisableKeepAlives = true
	return &connPool{keepAlive: keepAlive, singleUse: singleUse}
}

// newTransport returns a transport for HTTP/1.1 only, so that each stream has a
// connection of its own.
func newTransport(s *Settings) transport.CheckedTransport {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return transport.NewCheckedTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, s.DialTimeout)
			defer cancel()
			return s.Dial(ctx, network, address)
		},
		DisableCompression: true,
		ReadBufferSize:     readBufferBytes,
		WriteBufferSize:    writeBufferBytes,
		Protocols:          &protocols,

		MaxResponseHeaderBytes: transport.MaxResponseHeaderBytes,
	})
}

func (c *connPool) transport(singleUse bool) transport.CheckedTransport {
	if singleUse {
		return c.singleUse
	}
	return c.keepAlive
}

// recordResult updates whether connections to the endpoint are silent, and
// returns whether that has changed.
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

func (c *connPool) closeIdle() { c.keepAlive.CloseIdleConnections() }
