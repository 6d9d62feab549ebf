package telemetry

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"sync"

	"github.com/cloudwego/hertz/pkg/common/hlog"
)

// RedirectServerLogs sends the log lines of the HTTP library to a logger. Lines below warning level are about single
// connections and are logged at debug level. The setting is global to the process: only the first call has an effect, and
// it must be made before the first server is created.
func RedirectServerLogs(log *slog.Logger) {
	redirectServerLogsOnce.Do(func() {
		adapter := &serverLog{log: log}
		hlog.SetLogger(adapter)
		hlog.SetSystemLogger(adapter)
	})
}

// redirectServerLogsOnce ensures that the library's global logger is set only once, because running servers read it
// without a lock.
var redirectServerLogsOnce sync.Once

// serverLog adapts slog to the HTTP library's interface. It is safe for concurrent use.
type serverLog struct{ log *slog.Logger }

var _ hlog.FullLogger = (*serverLog)(nil)

func (s *serverLog) write(ctx context.Context, level slog.Level, text string) {
	s.log.Log(ctx, level, text)
}

func (s *serverLog) print(level slog.Level, v []any) {
	s.write(context.Background(), level, fmt.Sprint(v...))
}

func (s *serverLog) printf(ctx context.Context, level slog.Level, format string, v []any) {
	s.write(ctx, level, fmt.Sprintf(format, v...))
}

func exit() { os.Exit(1) }

func (s *serverLog) Trace(v ...any)  { s.print(slog.LevelDebug, v) }
func (s *serverLog) Debug(v ...any)  { s.print(slog.LevelDebug, v) }
func (s *serverLog) Info(v ...any)   { s.print(slog.LevelDebug, v) }
func (s *serverLog) Notice(v ...any) { s.print(slog.LevelDebug, v) }
func (s *serverLog) Warn(v ...any)   { s.print(slog.LevelWarn, v) }
func (s *serverLog) Error(v ...any)  { s.print(slog.LevelError, v) }

// Fatal logs the message and exits the process, as the interface requires.
func (s *serverLog) Fatal(v ...any) {
	s.print(slog.LevelError, v)
	exit()
}

func (s *serverLog) Tracef(f string, v ...any) { s.CtxTracef(context.Background(), f, v...) }
func (s *serverLog) Debugf(f string, v ...any) { s.CtxDebugf(context.Background(), f, v...) }
func (s *serverLog) Infof(f string, v ...any)  { s.CtxInfof(context.Background(), f, v...) }
func (s *serverLog) Noticef(f string, v ...any) {
	s.CtxNoticef(context.Background(), f, v...)
}
func (s *serverLog) Warnf(f string, v ...any)  { s.CtxWarnf(context.Background(), f, v...) }
func (s *serverLog) Errorf(f string, v ...any) { s.CtxErrorf(context.Background(), f, v...) }
func (s *serverLog) Fatalf(f string, v ...any) { s.CtxFatalf(context.Background(), f, v...) }

func (s *serverLog) CtxTracef(ctx context.Context, f string, v ...any) {
	s.printf(ctx, slog.LevelDebug, f, v)
}

func (s *serverLog) CtxDebugf(ctx context.Context, f string, v ...any) {
	s.printf(ctx, slog.LevelDebug, f, v)
}

func (s *serverLog) CtxInfof(ctx context.Context, f string, v ...any) {
	s.printf(ctx, slog.LevelDebug, f, v)
}

func (s *serverLog) CtxNoticef(ctx context.Context, f string, v ...any) {
	s.printf(ctx, slog.LevelDebug, f, v)
}

func (s *serverLog) CtxWarnf(ctx context.Context, f string, v ...any) {
	s.printf(ctx, slog.LevelWarn, f, v)
}

func (s *serverLog) CtxErrorf(ctx context.Context, f string, v ...any) {
	s.printf(ctx, slog.LevelError, f, v)
}

func (s *serverLog) CtxFatalf(ctx context.Context, f string, v ...any) {
	s.printf(ctx, slog.LevelError, f, v)
	exit()
}

// SetLevel has no effect, the level of the logger applies.
func (s *serverLog) SetLevel(hlog.Level) {}

// SetOutput has no effect, the output of the logger applies.
func (s *serverLog) SetOutput(io.Writer) {}
