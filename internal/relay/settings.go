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
	DefaultDialTimeout         = 500 * time.Millisecond
	DefaultHeaderTimeout       = 2 * time.Second
	DefaultFirstTokenTimeout   = 30 * time.Second
	DefaultNextTokenTimeout    = 5 * time.Second
	DefaultServiceBodyTimeout  = 10 * time.Second
	DefaultMaxAttempts         = 4
	DefaultMaxResumeBytes      = 1 << 20
	DefaultMaxServiceBodyBytes = 8 << 20
	DefaultIdleConnTimeout     = 60 * time.Second
	DefaultMaxIdleConns        = 64
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
	// ServiceBodyTimeout bounds the wait between the header and the end of the
	// answer of a plain service.
	ServiceBodyTimeout time.Duration
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// MaxLineBytes bounds one line of a stream, in bytes.
	MaxLineBytes int
	// MaxResumeBytes bounds the text kept of an answer so that it can be
	// resumed; a longer answer can't be resumed.
	MaxResumeBytes int
	// MaxServiceBodyBytes bounds the answer of a plain service.
	MaxServiceBodyBytes int64
	// MaxIdleConns and IdleTimeout bound the idle connections to one endpoint.
	MaxIdleConns    int
	IdleConnTimeout time.Duration

	// Dial makes connections; nil means TCP.
	Dial        DialFunc
	RetryBudget RetryBudget
	Observer    Observer
	Tracer      trace.Tracer
	Logger      *log.Logger
	// NewAttemptID makes attempt ids; nil means random UUIDs.
	NewAttemptID func() string
}

func (s Settings) withDefaults() Settings {
	setDefault(&s.DialTimeout, DefaultDialTimeout)
	setDefault(&s.HeaderTimeout, DefaultHeaderTimeout)
	setDefault(&s.FirstTokenTimeout, DefaultFirstTokenTimeout)
	setDefault(&s.NextTokenTimeout, DefaultNextTokenTimeout)
	setDefault(&s.ServiceBodyTimeout, DefaultServiceBodyTimeout)
	setDefault(&s.MaxAttempts, DefaultMaxAttempts)
	setDefault(&s.MaxLineBytes, DefaultMaxLineBytes)
	setDefault(&s.MaxResumeBytes, DefaultMaxResumeBytes)
	setDefault(&s.MaxServiceBodyBytes, DefaultMaxServiceBodyBytes)
	setDefault(&s.MaxIdleConns, DefaultMaxIdleConns)
	setDefault(&s.IdleConnTimeout, DefaultIdleConnTimeout)
	if s.Dial == nil {
		s.Dial = (&net.Dialer{KeepAlive: s.IdleConnTimeout}).DialContext
	}
	if s.RetryBudget == nil {
		s.RetryBudget = unlimitedBudget{}
	}
	if s.Observer == nil {
		s.Observer = nopObserver{}
	}
	if s.Tracer == nil {
		s.Tracer = telemetry.Tracer()
	}
	if s.Logger == nil {
		s.Logger = log.New(io.Discard)
	}
	if s.NewAttemptID == nil {
		s.NewAttemptID = newUUID
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

type nopObserver struct{}

func (nopObserver) AttemptStarted(Attempt)                    {}
func (nopObserver) FirstTokenReceived(Attempt, time.Duration) {}
func (nopObserver) AttemptEnded(Attempt, Result)              {}
