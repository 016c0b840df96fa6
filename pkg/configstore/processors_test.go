package configstore

import "runtime"

// The race detector of Go 1.26 crashes when two threads run timers of one
// synctest bubble at the same time, so the tests use a single processor.
func init() { runtime.GOMAXPROCS(1) }
