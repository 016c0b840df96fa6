package guard

import (
	"bytes"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// Guards against a panic that ends the process, and against one that leaves no
// trace in the log.
func TestPanicIsLoggedAndEnds(t *testing.T) {
	var out bytes.Buffer
	ended := false
	func() {
		defer Recover(zerolog.New(&out), "decoder", func() { ended = true })
		var empty []int
		_ = empty[len(t.Name())]
	}()
	require.True(t, ended)
	require.Contains(t, out.String(), `"where":"decoder"`)
	require.Contains(t, out.String(), "guard_test.go", "the stack names the place")
}

// Guards against a process that goes on after a broken invariant.
func TestBrokenInvariantIsNotRecovered(t *testing.T) {
	require.PanicsWithValue(t, InvariantError("section fleet has two writers"), func() {
		defer Recover(zerolog.Nop(), "controller", nil)
		Invariantf("section %s has %s writers", "fleet", "two")
	})
}
