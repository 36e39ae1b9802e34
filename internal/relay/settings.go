package relay

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/charmbracelet/log"
	"go.opentelemetry.io/otel/trace"

	"github.com/hickorystage/hickorystage/internal/httpmeta"
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

// DialFunc opens a connection to address, which is host:port.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Settings configure a Relay. A zero field takes its default.
type Settings struct {
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// HeaderTimeout limits the wait for the response header.
	HeaderTimeout time.Duration
	// FirstTokenTimeout limits the wait from the header to the first token,
	// which includes the endpoint's queue and prefill.
	FirstTokenTimeout time.Duration
	// NextTokenTimeout limits the gap between two tokens.
	NextTokenTimeout time.Duration
	// ServiceBodyTimeout limits the time from the header to the end of the
	// response of a service call.
	ServiceBodyTimeout time.Duration
	// MaxAttempts limits the attempts of one request.
	MaxAttempts int
	// MaxLineBytes limits the length of one line of a stream.
	MaxLineBytes int
	// MaxResumeBytes limits the response text kept for resuming; a longer
	// response can't be resumed.
	MaxResumeBytes int
	// MaxServiceBodyBytes limits the response body of a service call.
	MaxServiceBodyBytes int64
	// MaxIdleConns and IdleConnTimeout limit the idle connections to one
	// endpoint.
	MaxIdleConns    int
	IdleConnTimeout time.Duration

	// Dial opens connections; nil means TCP.
	Dial DialFunc
	// RetryBudget limits retries; nil means without limit.
	RetryBudget RetryBudget
	// Observer is notified of attempts; nil means nobody.
	Observer Observer
	// Tracer starts a span for each attempt; nil means the process's tracer.
	Tracer trace.Tracer
	// Logger receives log lines; nil discards them.
	Logger *log.Logger
	// NewAttemptID returns a new attempt id; nil means random UUIDs.
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

func (nopObserver) AttemptStarted(Attempt)                           {}
func (nopObserver) SignalsReceived(Attempt, httpmeta.Signals, error) {}
func (nopObserver) FirstTokenReceived(Attempt, time.Duration)        {}
func (nopObserver) AttemptEnded(Attempt, Result)                     {}
