package relay

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/charmbracelet/log"
	"go.opentelemetry.io/otel/trace"

	"github.com/hickorystage/hickorystage/internal/telemetry"
)

// Defaults of Settings.
const (
	DefaultDialTimeout       = 500 * time.Millisecond
	DefaultHeaderTimeout     = 2 * time.Second
	DefaultFirstTokenTimeout = 30 * time.Second
	DefaultNextTokenTimeout  = 5 * time.Second
	DefaultCallTimeout       = 10 * time.Second
	DefaultMaxAttempts       = 4
	DefaultMaxResumeBytes    = 1 << 20
	DefaultMaxCallBytes      = 8 << 20
	DefaultIdleTimeout       = 60 * time.Second
	DefaultMaxIdle           = 64
)

// DialFunc makes a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Settings of a Relay. A zero field takes its default.
type Settings struct {
	// DialTimeout bounds making a connection.
	DialTimeout time.Duration
	// HeaderTimeout bounds the wait for the header of an answer.
	HeaderTimeout time.Duration
	// FirstTokenTimeout bounds the wait from the header to the first token,
	// which takes in the endpoint's queue and prefill.
	FirstTokenTimeout time.Duration
	// NextTokenTimeout bounds the gap between two tokens.
	NextTokenTimeout time.Duration
	// CallTimeout bounds the wait between the header and the end of the
	// answer of a plain service.
	CallTimeout time.Duration
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// MaxLine bounds one line of a stream, in bytes.
	MaxLine int
	// MaxResumeBytes bounds the text kept of an answer so that it can be
	// resumed; a longer answer can't be resumed.
	MaxResumeBytes int
	// MaxCallBytes bounds the answer of a plain service.
	MaxCallBytes int64
	// MaxIdle and IdleTimeout bound the idle connections to one endpoint.
	MaxIdle     int
	IdleTimeout time.Duration

	// Dial makes connections; nil means TCP.
	Dial        DialFunc
	RetryBudget RetryBudget
	Observer    Observer
	Tracer      trace.Tracer
	Logger      *log.Logger
	// NewID makes attempt ids; nil means random UUIDs.
	NewID func() string
}

func (s Settings) withDefaults() Settings {
	setDefault(&s.DialTimeout, DefaultDialTimeout)
	setDefault(&s.HeaderTimeout, DefaultHeaderTimeout)
	setDefault(&s.FirstTokenTimeout, DefaultFirstTokenTimeout)
	setDefault(&s.NextTokenTimeout, DefaultNextTokenTimeout)
	setDefault(&s.CallTimeout, DefaultCallTimeout)
	setDefault(&s.MaxAttempts, DefaultMaxAttempts)
	setDefault(&s.MaxLine, DefaultMaxLine)
	setDefault(&s.MaxResumeBytes, DefaultMaxResumeBytes)
	setDefault(&s.MaxCallBytes, DefaultMaxCallBytes)
	setDefault(&s.MaxIdle, DefaultMaxIdle)
	setDefault(&s.IdleTimeout, DefaultIdleTimeout)
	if s.Dial == nil {
		s.Dial = (&net.Dialer{KeepAlive: s.IdleTimeout}).DialContext
	}
	if s.RetryBudget == nil {
		s.RetryBudget = unlimitedBudget{}
	}
	if s.Observer == nil {
		s.Observer = noObserver{}
	}
	if s.Tracer == nil {
		s.Tracer = telemetry.Tracer()
	}
	if s.Logger == nil {
		s.Logger = log.New(io.Discard)
	}
	if s.NewID == nil {
		s.NewID = randomID
	}
	return s
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

type unlimitedBudget struct{}

func (unlimitedBudget) TrySpend() bool { return true }

type noObserver struct{}

func (noObserver) AttemptStarted(Attempt)                    {}
func (noObserver) FirstTokenReceived(Attempt, time.Duration) {}
func (noObserver) AttemptEnded(Attempt, Result)              {}
