package lease_test

import "runtime"

// The tests run on one processor, because the race detector of Go 1.26 crashes
// when two threads run timers of one synctest bubble at the same time.
func init() { runtime.GOMAXPROCS(1) }
