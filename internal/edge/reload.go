package edge

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/basillink/basillink/internal/settings"
)

// fileInterval is how often the settings file is looked at for changes without a signal.
const fileInterval = time.Second

// Reloader follows the settings file: on SIGHUP, and when the file changed without one. Apply receives settings that are
// accepted and differ. Others leave those in force, with a log line.
type Reloader struct {
	File  string
	Log   *slog.Logger
	Apply func(*settings.Edge)

	current *settings.Edge
	stamp   time.Time
}

// Run follows the file until the context ends. The settings are those in force.
func (r *Reloader) Run(ctx context.Context, inForce *settings.Edge) {
	r.current = inForce
	r.stamp = r.modified()
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(fileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-hangup:
			r.read("signal")
		case <-ticker.C:
			if stamp := r.modified(); !stamp.Equal(r.stamp) {
				r.stamp = stamp
				r.read("file")
			}
		case <-ctx.Done():
			return
		}
	}
}

// modified returns the time of the last change of the file, zero if it cannot be told.
func (r *Reloader) modified() time.Time {
	info, err := os.Stat(r.File)
	if err != nil {
		r.Log.Debug("Could not look at the settings file.", "file", r.File, "error", err)
		return time.Time{}
	}
	return info.ModTime()
}

func (r *Reloader) read(cause string) {
	next, err := settings.LoadEdge(r.File)
	if err != nil {
		r.Log.Warn("Refused the settings. Those in force stay.", "cause", cause, "error", err)
		return
	}
	changed := ChangedKeys(r.current, next)
	r.Log.Info("Read the settings.", "cause", cause, "changed", changed)
	if len(changed) == 0 {
		return
	}
	r.current = next
	r.Apply(next)
}

// ChangedKeys returns the keys whose values differ.
func ChangedKeys(a, b *settings.Edge) []string {
	var keys []string
	before, after := settings.Values(a), settings.Values(b)
	for i, field := range settings.EdgeFields() {
		if !reflect.DeepEqual(before[i], after[i]) {
			keys = append(keys, field.Key)
		}
	}
	return keys
}
