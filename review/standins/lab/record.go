package lab

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Record collects what was sent, answered and run, and writes it to record.txt.
type Record struct {
	start time.Time
	mu    sync.Mutex
	lines []string
}

// NewRecord returns an empty record whose time starts now.
func NewRecord() *Record { return &Record{start: time.Now()} }

// Now returns the time since the start of the record.
func (r *Record) Now() time.Duration { return time.Since(r.start) }

// Add adds one line with the time.
func (r *Record) Add(format string, args ...any) {
	line := fmt.Sprintf("%9.3f  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line)
}

// Print adds a line and prints it.
func (r *Record) Print(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.Add(format, args...)
}

// Write writes the lines to record.txt in a folder.
func (r *Record) Write(dir string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = os.WriteFile(filepath.Join(dir, "record.txt"), []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}
