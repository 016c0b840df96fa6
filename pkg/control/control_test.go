package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/guard"
)

// panickingController panics in its first runs and then waits for its end.
type panickingController struct {
	value  any
	panics int
	runs   int
}

func (*panickingController) Name() string { return "panicking" }

func (c *panickingController) Run(ctx context.Context) {
	c.runs++
	if c.runs <= c.panics {
		panic(c.value)
	}
	<-ctx.Done()
}

// Guards against one malformed event that ends the whole process.
func TestControllerRunsAgainAfterAPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := &panickingController{value: "malformed event", panics: 3}
		done := Start(ctx, zerolog.Nop(), c)
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, 4, c.runs)
		cancel()
		<-done
		require.Equal(t, 4, c.runs, "a controller that ends is not run again")
	})
}

// Guards against a process that goes on with a blackboard that can no longer be
// trusted.
func TestBrokenInvariantEndsTheController(t *testing.T) {
	c := &panickingController{value: guard.InvariantError("two writers"), panics: 1}
	require.Panics(t, func() { runUntilPanic(t.Context(), zerolog.Nop(), c) })
}
