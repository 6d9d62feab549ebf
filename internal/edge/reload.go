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

// pollInterval is the interval between checks of the settings file's modification time.
const pollInterval = time.Second

// Reloader reloads the settings file on SIGHUP and when its modification time changes. It is not safe for concurrent use.
type Reloader struct {
	// File is the path of the settings file.
	File string
	Log  *slog.Logger
	// Apply is called by Run with settings that are valid and differ from the previous ones. Invalid settings are logged and
	// ignored.
	Apply func(*settings.Edge)

	// current holds the last settings that were valid.
	current *settings.Edge
	// modTime is the modification time of the file when it was last checked.
	modTime time.Time
}

// Run reloads the file until the context ends. The argument initial holds the settings that the instance was started with.
func (r *Reloader) Run(ctx context.Context, initial *settings.Edge) {
	r.current = initial
	r.modTime = r.readModTime()
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	defer signal.Stop(sighup)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-sighup:
			r.reload("signal")
		case <-ticker.C:
			if modTime := r.readModTime(); !modTime.Equal(r.modTime) {
				r.modTime = modTime
				r.reload("file")
			}
		case <-ctx.Done():
			return
		}
	}
}

// readModTime returns the modification time of the file, or the zero time if it cannot be read.
func (r *Reloader) readModTime() time.Time {
	info, err := os.Stat(r.File)
	if err != nil {
		r.Log.Debug("Could not read the modification time of the settings file.", "file", r.File, "error", err)
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the file and applies the settings if they are valid and changed. The cause is logged.
func (r *Reloader) reload(cause string) {
	next, err := settings.LoadEdge(r.File)
	if err != nil {
		r.Log.Warn("Invalid settings. The previous ones stay in force.", "cause", cause, "error", err)
		return
	}
	changed := ChangedKeys(r.current, next)
	r.Log.Info("Reloaded the settings file.", "cause", cause, "changed", changed)
	if len(changed) == 0 {
		return
	}
	r.current = next
	r.Apply(next)
}

// ChangedKeys returns the keys of the settings whose values differ between a and b.
func ChangedKeys(a, b *settings.Edge) []string {
	var keys []string
	before, after := settings.EdgeValues(a), settings.EdgeValues(b)
	for i, field := range settings.EdgeFields() {
		if !reflect.DeepEqual(before[i], after[i]) {
			keys = append(keys, field.Key)
		}
	}
	return keys
}
