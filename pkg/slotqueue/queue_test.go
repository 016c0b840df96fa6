package slotqueue

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
)

// Guards against a job that is evicted or refused and still waits, gets a slot, or
// gets two decisions.
func TestEvictedAndRefusedJobsLeaveTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var q Queue[string]
		first := func([]string) int { return 0 }
		require.True(t, q.TryAcquire(1))
		ends := map[string]board.Reason{}
		submit := func(name string, admit func([]string) Admission[string]) {
			go func() {
				w, reason := q.Enqueue(1, admit, first)
				if w != nil {
					var end End
					end, reason = q.Wait(t.Context(), w, time.Now().Add(time.Second))
					require.Equal(t, Decided, end)
					require.Equal(t, name, w.Job())
				}
				ends[name] = reason
			}()
			synctest.Wait()
		}
		add := func(name string) func([]string) Admission[string] {
			return func([]string) Admission[string] { return Admission[string]{Job: name} }
		}
		submit("a", add("a"))
		submit("b", add("b"))
		submit("refused", func([]string) Admission[string] { return Admission[string]{Refusal: "full"} })
		submit("c", func(waiting []string) Admission[string] {
			require.Equal(t, []string{"a", "b"}, waiting)
			return Admission[string]{Job: "c", Evict: &Eviction{Index: 0, Reason: "evicted"}}
		})
		require.Equal(t, map[string]board.Reason{"refused": "full", "a": "evicted"}, ends)
		require.Equal(t, []string{"b", "c"}, q.Jobs())
		require.Equal(t, 1, q.Count(func(name string) bool { return name == "c" }))
		q.Release(1, first)
		synctest.Wait()
		q.RefuseAll("down")
		synctest.Wait()
		require.Equal(t, map[string]board.Reason{"refused": "full", "a": "evicted", "b": "", "c": "down"}, ends)
		require.Equal(t, 1, q.Running())
		require.Zero(t, q.Waiting())
	})
}
