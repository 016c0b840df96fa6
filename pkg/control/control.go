// Package control defines what all controllers have in common. Each controller
// lives in a package of its own, writes its own section of the board and
// never calls another controller.
package control

import (
	"context"
	"sync"
)

// Controller reads sections of the board and publishes its own.
type Controller interface {
	// Name is the controller's name in the design page and in logs.
	Name() string
	// Run works until ctx ends.
	Run(ctx context.Context)
}

// Start runs the controllers, each on its own goroutine, until ctx ends. The
// channel is closed when all of them have returned.
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
