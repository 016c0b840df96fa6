// Package control defines the Controller interface and the helpers that all
// controllers share. Each controller has a package of its own, writes only its
// own section of the board and never calls another controller.
package control

import (
	"context"
	"sync"
)

// Controller reads sections of the board and publishes its own section.
type Controller interface {
	// Name returns the controller's name as used in logs and on the design page.
	Name() string
	// Run runs the controller and returns when ctx is done.
	Run(ctx context.Context)
}

// Start runs each controller on its own goroutine until ctx is done. The
// returned channel is closed when all of them have returned.
func Start(ctx context.Context, controllers ...Controller) <-chan struct{} {
	var wg sync.WaitGroup
	for _, c := range controllers {
		wg.Go(func() { c.Run(ctx) })
	}
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	return done
}
