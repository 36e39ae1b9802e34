package telemetry

import (
	"io"

	"github.com/charmbracelet/log"
)

// NewLogger returns a logger that writes logfmt lines to w.
func NewLogger(w io.Writer, level log.Level) *log.Logger {
	return log.NewWithOptions(w, log.Options{
		Level:           level,
		ReportTimestamp: true,
		Formatter:       log.LogfmtFormatter,
	})
}
