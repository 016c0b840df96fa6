// Package control defines the Controller interface and the helpers that all
// controllers share. Each controller has a package of its own, writes only its
// own section of the board and never calls another controller.
package control

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/guard"
)

// Controller reads sections of the board and publishes its own section.
type Controller interface {
	// Name returns the controller's name as used in logs and on the design page.
	Name() string
	// Run runs the controller and returns when ctx is done.
	Run(ctx context.Context)
}

// restartDelay is the pause before a controller runs again after a panic, so
// that an event that causes one each time does not keep a core busy.
const restartDelay = 100 * time.Millisecond

// Start runs each controller on its own goroutine until ctx is done. The
// returned channel is closed when all of them have returned. A controller that
// panics is logged and run again.
func Start(ctx context.Context, log zerolog.Logger, controllers ...Controller) <-chan struct{} {
	var wg sync.WaitGroup
	for _, c := range controllers {
		wg.Go(func() {
			for runUntilPanic(ctx, log, c) && Sleep(ctx, restartDelay) {
			}
		})
	}
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	return done
}

// runUntilPanic runs a controller and reports whether it ended by a panic.
func runUntilPanic(ctx context.Context, log zerolog.Logger, c Controller) (panicked bool) {
	defer guard.Recover(log, "controller "+c.Name(), func() { panicked = true })
	c.Run(ctx)
	return false
}
