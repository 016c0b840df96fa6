// Package guard confines an unexpected panic to the request or the event that
// caused it. A broken invariant still ends the process, since its state can no
// longer be trusted.
package guard

import (
	"fmt"
	"runtime/debug"

	"github.com/rs/zerolog"
)

// InvariantError is the panic value of a broken invariant.
type InvariantError string

// Error returns the broken invariant.
func (e InvariantError) Error() string { return string(e) }

// Invariantf panics with an InvariantError.
func Invariantf(format string, args ...any) {
	panic(InvariantError(fmt.Sprintf(format, args...)))
}

// Recover ends a panic of the function that defers it: it logs the panic with
// its stack and calls onPanic, which may be nil. A broken invariant goes on.
func Recover(log zerolog.Logger, where string, onPanic func()) {
	value := recover()
	if value == nil {
		return
	}
	if invariant, ok := value.(InvariantError); ok {
		panic(invariant)
	}
	log.Error().Str("event", "panic").Str("where", where).Str("panic", fmt.Sprint(value)).Bytes("stack", debug.Stack()).Send()
	if onPanic != nil {
		onPanic()
	}
}
