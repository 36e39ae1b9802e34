package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/hickorystage/hickorystage/internal/standin/model"
)

// Sizes of the load.
const (
	// accounts is the number of customers in a region.
	accounts = 24
	// systemBlocks is the length of the prefix that all long requests share.
	systemBlocks = 8
	// documentSkew is the exponent of the documents' popularity.
	documentSkew = 1.1
	// bytesPerToken is the size of a token on a link.
	bytesPerToken = 4
)

// The priorities of requests and their shares.
var priorities = []struct {
	priority int
	share    float64
}{{8, 0.2}, {5, 0.6}, {1, 0.2}}

// arrival is one request of the load.
type arrival struct {
	at       time.Duration
	region   int
	account  int
	priority int
	prompt   int
	output   int
	prefix   []uint64
	bound    bool
	deadline time.Duration
	draw     uint64
}

// document is a shared prefix.
type document struct {
	account int
	tokens  int
	prefix  []uint64
}

// generator draws the load of one region.
type generator struct {
	mix    *Mix
	rnd    *rand.Rand
	region int
	docs   []document
	cum    []float64
}

func newGenerator(mix *Mix, region int, seed uint64) *generator {
	g := &generator{mix: mix, region: region, rnd: rand.New(rand.NewPCG(seed, uint64(region)+1))}
	total := 0.0
	for i := range mix.Documents {
		g.docs = append(g.docs, g.document(uint64(i)))
		total += 1 / math.Pow(float64(i+1), documentSkew)
		g.cum = append(g.cum, total)
	}
	return g
}

func (g *generator) document(i uint64) document {
	tokens := g.between(g.mix.DocumentTokens)
	d := document{account: g.rnd.IntN(accounts), tokens: tokens}
	for b := range systemBlocks {
		d.prefix = append(d.prefix, hash(1, uint64(b)))
	}
	for b := systemBlocks; b < tokens/model.BlockTokens; b++ {
		d.prefix = append(d.prefix, hash(1000+uint64(g.region)<<20+i, uint64(b)))
	}
	return d
}

func (g *generator) between(r [2]int) int { return r[0] + g.rnd.IntN(r[1]-r[0]+1) }

func (g *generator) pickDocument() *document {
	x := g.rnd.Float64() * g.cum[len(g.cum)-1]
	for i, c := range g.cum {
		if x <= c {
			return &g.docs[i]
		}
	}
	return &g.docs[len(g.docs)-1]
}

// arrivals draws the requests of a region up to end by thinning; rate is in
// requests a second and never above peak.
func (g *generator) arrivals(end time.Duration, peak float64, rate func(t time.Duration) float64) []arrival {
	var out []arrival
	at := time.Duration(0)
	for {
		at += time.Duration(g.rnd.ExpFloat64() / peak * float64(time.Second))
		if at >= end {
			return out
		}
		if g.rnd.Float64()*peak < rate(at) {
			out = append(out, g.draw(at))
		}
	}
}

func (g *generator) draw(at time.Duration) arrival {
	a := arrival{at: at, region: g.region, draw: g.rnd.Uint64(), bound: g.rnd.Float64() < g.mix.HomeBound}
	a.priority = g.priority()
	if g.rnd.Float64() < g.mix.LongShare {
		d := g.pickDocument()
		tail := g.between([2]int{64, 400})
		a.account, a.prompt, a.output = d.account, d.tokens+tail, g.between(g.mix.LongOutput)
		a.prefix = g.withTail(d.prefix, a.prompt)
		a.deadline = g.mix.LongDeadline
		return a
	}
	a.account, a.prompt, a.output = g.rnd.IntN(accounts), g.between(g.mix.ShortPrompt), g.between(g.mix.ShortOutput)
	a.prefix = g.withTail(nil, a.prompt)
	a.deadline = g.mix.ShortDeadline
	return a
}

// withTail adds the blocks that only this request has.
func (g *generator) withTail(prefix []uint64, prompt int) []uint64 {
	out := append([]uint64(nil), prefix...)
	id := g.rnd.Uint64()
	for b := len(out); b < prompt/model.BlockTokens; b++ {
		out = append(out, hash(id, uint64(b)))
	}
	return out
}

func (g *generator) priority() int {
	x := g.rnd.Float64()
	for _, p := range priorities {
		if x < p.share {
			return p.priority
		}
		x -= p.share
	}
	return priorities[len(priorities)-1].priority
}

// hash mixes two words (splitmix64).
func hash(a, b uint64) uint64 {
	x := a*0x9e3779b97f4a7c15 + b + 0x632be59bd9b4e019
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
