package node

import (
	"context"
	"os"
	"reflect"
	"time"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
	"github.com/tanagerline/tanagerline/internal/operator/settings"
)

// settingsPeriod is how often the settings file is looked at: it may change without a
// signal, and a look costs one system call.
const settingsPeriod = time.Second

// watchSettings takes changed settings until the context ends: at once when Reload is
// signaled, or soon after the file has changed.
func (n *Node) watchSettings(ctx context.Context) {
	if n.SettingsFile == "" {
		return
	}
	ticker := time.NewTicker(settingsPeriod)
	defer ticker.Stop()
	seen := modified(n.SettingsFile)
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.Reload:
			seen = modified(n.SettingsFile)
			n.reload()
		case <-ticker.C:
			if now := modified(n.SettingsFile); now != seen {
				seen = now
				n.reload()
			}
		}
	}
}

// modified tells versions of a file apart; it is zero for one that can't be read.
func modified(path string) (version struct {
	at   time.Time
	size int64
},
) {
	if info, err := os.Stat(path); err == nil {
		version.at = info.ModTime()
		version.size = info.Size()
	}
	return version
}

// reload puts the file's limits and intervals in force. A file with a fault changes
// nothing, and an address that changed takes a restart.
func (n *Node) reload() {
	loaded, err := settings.LoadWith(n.SettingsFile, n.SettingsOverrides)
	if err != nil {
		n.Logger.Warn().Str("event", "reload-refused").Str("file", n.SettingsFile).Err(err).Msgs()
		return
	}
	n.loop.Do(reducer.SettingsChanged{Settings: loaded.Decisions})
	restart := loaded
	restart.Decisions = n.Settings.Decisions
	n.Logger.Info().Str("event", "reloaded").Str("file", n.SettingsFile).
		Bool("restart_needed", !reflect.DeepEqual(restart, n.Settings)).Msgs()
}
