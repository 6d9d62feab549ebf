// Package telemetry sets up structured logs and metrics.
package telemetry

import (
	"context"
	"io"
	"log/slog"
	"strings"
)

// NewLogger returns a logger that writes to w. Level and format are valid settings.
func NewLogger(w io.Writer, level, format string) *slog.Logger {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		l = slog.LevelInfo
	}
	options := &slog.HandlerOptions{Level: l, ReplaceAttr: oneLine}
	if format == "json" {
		return slog.New(slog.NewJSONHandler(w, options))
	}
	return slog.New(slog.NewTextHandler(w, options))
}

// oneLine joins the lines of wrapped errors, so that a log entry stays on one line.
func oneLine(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(strings.ReplaceAll(err.Error(), "\n\t", ": "))
	}
	return a
}

// Component returns a logger whose messages start with the component's prefix.
func Component(log *slog.Logger, name string) *slog.Logger {
	return slog.New(&prefixHandler{Handler: log.Handler(), prefix: name + ": "})
}

// prefixHandler puts a fixed prefix before each message.
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
