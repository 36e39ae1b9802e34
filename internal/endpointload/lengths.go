package endpointload

import (
	"math"
	"sync"
)

// Callers' hints of the length of a response are right at the median and often far off. How
// far is learned for each class of requests, those of one route with or without a hint, as a
// straight line of the logarithm of the length over that of the hint. Where hints say nothing
// of the length, the line is flat and the usual length is expected; where they are exact, its
// slope is 1.

const (
	// longQuantile is the quantile of the lengths that a forecast takes as that of a
	// response, and errorRate the rate at which it is learned, in the unit of the
	// logarithm.
	longQuantile = 0.9
	errorRate    = 0.05
	// lengthMemory is the number of responses in which the weight of one falls to 1/e,
	// minLengths the number from which their lengths are used.
	lengthMemory = 200
	minLengths   = 10
	// minLengthVariance is the variance of the logarithms of hints from which a slope can
	// be told from rounding.
	minLengthVariance = 1e-4
	// maxLengthClasses bounds what is kept when routes come and go.
	maxLengthClasses = 1024
)

// LengthClass is a class of requests whose lengths are learned together.
type LengthClass struct {
	Route  string
	Hinted bool
}

// Lengths are the lengths that few responses of a kind exceed. Both are 0 if unknown.
type Lengths struct {
	// Outputs is the length in outputs of the endpoint, of which each may hold several
	// tokens, Tokens that in tokens.
	Outputs, Tokens int
}

// lengthLine is the logarithm of the number of outputs over that of the tokens expected.
type lengthLine struct {
	fit line
	// long is the longQuantile of the logarithm's difference from the line.
	long float64
	// perToken is the learned logarithm of the outputs for each token expected.
	perToken line
}

// lengths holds the lengths of each class. It is safe for concurrent use.
type lengths struct {
	mu      sync.RWMutex
	classes map[LengthClass]*lengthLine
}

func newLengths() *lengths { return &lengths{classes: make(map[LengthClass]*lengthLine)} }

// at returns the logarithm of the usual length for the logarithm of a hint.
func (l *lengthLine) at(hint float64) float64 {
	meanHint, meanLength := l.fit.means()
	return meanLength + min(max(l.fit.slope(minLengthVariance), 0), 1)*(hint-meanHint)
}

// ExpectedLengths returns the lengths of a response of the class of which tokens are
// expected, and at most maxTokens; 0 for no limit.
func (t *Tracker) ExpectedLengths(class LengthClass, tokens, maxTokens int) Lengths {
	t.lengths.mu.RLock()
	defer t.lengths.mu.RUnlock()
	l, ok := t.lengths.classes[class]
	if !ok || tokens <= 0 || l.fit.weight < minLengths {
		return Lengths{}
	}
	outputs := math.Exp(l.at(math.Log(float64(tokens))) + l.long)
	_, perToken := l.perToken.means()
	if maxTokens > 0 {
		outputs = min(outputs, float64(maxTokens)*math.Exp(perToken))
	}
	return Lengths{Outputs: int(math.Ceil(outputs)), Tokens: int(outputs / math.Exp(perToken))}
}

// observe learns from a stream that had so many outputs when it ended. One that was ended
// before it was whole says only that it would have been longer.
func (s *lengths) observe(job Job, outputs int, whole bool) {
	if !job.Streamed || job.OutputTokens <= 0 || outputs <= 0 {
		return
	}
	hint, length := math.Log(float64(job.OutputTokens)), math.Log(float64(outputs))
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.classes[job.Class]
	if !ok {
		if len(s.classes) >= maxLengthClasses {
			clear(s.classes)
		}
		l = &lengthLine{}
		s.classes[job.Class] = l
	}
	if !whole && (l.fit.weight < minLengths || length <= l.at(hint)+l.long) {
		return
	}
	l.fit.add(hint, length, lengthMemory)
	l.perToken.add(0, length-hint, lengthMemory)
	if length > l.at(hint)+l.long {
		l.long += longQuantile * errorRate
	} else {
		l.long -= (1 - longQuantile) * errorRate
	}
	l.long = max(l.long, 0)
}

// line is a straight line through observations by least squares, in which earlier ones
// count less.
type line struct{ weight, x, xx, y, xy float64 }

// add adds an observation. memory is the number of observations in which the weight of one
// falls to 1/e.
func (l *line) add(x, y, memory float64) {
	keep := 1 - 1/memory
	l.weight = keep*l.weight + 1
	l.x = keep*l.x + x
	l.xx = keep*l.xx + x*x
	l.y = keep*l.y + y
	l.xy = keep*l.xy + x*y
}

// means returns the means of the observations.
func (l *line) means() (x, y float64) {
	if l.weight == 0 {
		return 0, 0
	}
	return l.x / l.weight, l.y / l.weight
}

// slope returns the slope, 0 if the variance of x is below minVariance.
func (l *line) slope(minVariance float64) float64 {
	x, y := l.means()
	variance := l.xx/max(l.weight, 1) - x*x
	if variance < minVariance {
		return 0
	}
	return (l.xy/l.weight - x*y) / variance
}
