// Package telemetry provides structured logs and metrics.
package telemetry

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
)

// NewLogger returns a logger that writes to w. Level and format are values of the settings log.level and log.format. An
// invalid level means info, a format other than "json" means text.
func NewLogger(w io.Writer, level, format string) *slog.Logger {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		l = slog.LevelInfo
	}
	options := &slog.HandlerOptions{Level: l, ReplaceAttr: boundAttribute}
	if format == "json" {
		return slog.New(slog.NewJSONHandler(w, options))
	}
	return slog.New(slog.NewTextHandler(w, options))
}

const (
	// maxValueBytes bounds the text of one attribute. Callers choose some of them, such as the ids of their requests, and the
	// queue of log lines is bounded by their number.
	maxValueBytes = 512
	// maxStackBytes bounds the stack of a panic, the attribute stackKey.
	maxStackBytes = 8 << 10
	stackKey      = "stack"
)

// boundAttribute replaces the line breaks in the text of wrapped errors with ": ", so that a log entry is one line, and
// truncates long texts.
func boundAttribute(_ []string, a slog.Attr) slog.Attr {
	text, isText := a.Value.Any().(string)
	if err, ok := a.Value.Any().(error); ok {
		text, isText = strings.ReplaceAll(err.Error(), "\n\t", ": "), true
		a.Value = slog.StringValue(text)
	}
	limit := maxValueBytes
	if a.Key == stackKey {
		limit = maxStackBytes
	}
	if isText && len(text) > limit {
		a.Value = slog.StringValue(fmt.Sprintf("%s... (%d bytes)", text[:limit], len(text)))
	}
	return a
}

// Component returns a logger that prefixes messages with the name of a component, as in "name: message".
func Component(log *slog.Logger, name string) *slog.Logger {
	return slog.New(&prefixHandler{Handler: log.Handler(), prefix: name + ": "})
}

// prefixHandler is a slog.Handler that prefixes each message.
type prefixHandler struct {
	slog.Handler
	prefix string
}

// Handle implements slog.Handler.
func (h *prefixHandler) Handle(ctx context.Context, r slog.Record) error {
	r.Message = h.prefix + r.Message
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *prefixHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &prefixHandler{Handler: h.Handler.WithAttrs(attrs), prefix: h.prefix}
}

// WithGroup implements slog.Handler.
func (h *prefixHandler) WithGroup(name string) slog.Handler {
	return &prefixHandler{Handler: h.Handler.WithGroup(name), prefix: h.prefix}
}
