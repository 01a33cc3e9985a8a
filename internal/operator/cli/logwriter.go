package cli

import (
	"io"
	"sync"

	"github.com/phuslu/log"
)

// logWriter is a writer of log entries that may be used after it was closed: effects of the last
// moments are still carried out while the process ends.
type logWriter struct {
	log.Writer

	mu     sync.RWMutex
	closed bool
}

// WriteEntry writes an entry, or drops it if the writer was closed.
func (w *logWriter) WriteEntry(entry *log.Entry) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return 0, nil
	}
	return w.Writer.WriteEntry(entry)
}

// Close writes the entries that wait and closes the writer.
func (w *logWriter) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	closer, ok := w.Writer.(io.Closer)
	if w.closed || !ok {
		return nil
	}
	w.closed = true
	return closer.Close()
}
