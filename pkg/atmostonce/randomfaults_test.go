package atmostonce_test

import (
	"flag"
	"fmt"
	"math"
	"os"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"mangostand.example/mangostand/pkg/atmostonce"
	"mangostand.example/mangostand/pkg/board"
)

// The seed and the number of schedules are fixed, so that CI generates the same
// schedules in each run.
const (
	scheduleSeed  = "20261204"
	scheduleCount = "25"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// A single processor: the race detector of Go 1.26 crashes when two threads
	// run timers of one synctest bubble at the same time, because they share one
	// race context.
	runtime.GOMAXPROCS(1)
	for name, value := range map[string]string{"rapid.seed": scheduleSeed, "rapid.checks": scheduleCount} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := f.Value.Set(value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// scheduleStep is one step of a fault schedule.
type scheduleStep struct {
	Kind string
	Node board.InstanceID
	// Wait is the time until the next step.
	Wait time.Duration
}

// stepKinds lists the kinds of steps. Each element is drawn with equal
// probability, so that repeated kinds are drawn more often.
var stepKinds = []string{
	"crash", "restart", "drain", "join", "cut off", "heal", "store down", "store up", "store loses responses",
	"membership update", "membership update", "call", "call", "call",
}

func drawSchedule(t *rapid.T) []scheduleStep {
	nodes := rapid.SampledFrom(instanceIDs(6))
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) scheduleStep {
		return scheduleStep{
			Kind: rapid.SampledFrom(stepKinds).Draw(t, "kind"),
			Node: nodes.Draw(t, "node"),
			Wait: rapid.SampledFrom([]time.Duration{
				0, 5 * time.Millisecond, 300 * time.Millisecond, time.Second, 4 * time.Second, 12 * time.Second,
			}).Draw(t, "pause"),
		}
	}), 10, 40).Draw(t, "schedule")
}

// observedCall is one call of a key as its caller observed it.
type observedCall struct {
	key, requestID string
	startedAt      time.Time
	endedAt        time.Time
	result         atmostonce.Result
}

// simulation runs callers that repeat their keys at several nodes while a fault
// schedule is applied.
type simulation struct {
	*testMesh
	mu    sync.Mutex
	calls []observedCall
	ended bool
}

// apply applies one step of the schedule.
func (s *simulation) apply(step scheduleStep) {
	s.testMesh.mu.Lock()
	n := s.nodes[step.Node]
	alive := n != nil && !n.dead
	partition := s.partition[step.Node]
	s.testMesh.mu.Unlock()
	switch step.Kind {
	case "crash":
		if alive {
			s.crash(step.Node)
		}
	case "restart", "join":
		if alive {
			s.crash(step.Node)
		}
		s.start(step.Node)
	case "drain":
		if alive {
			s.drain(step.Node)
		}
	case "cut off":
		s.setPartition(1-partition, step.Node)
	case "heal":
		s.setPartition(0, instanceIDs(6)...)
	case "store down":
		s.store.setFaults(true, false)
	case "store up":
		s.store.setFaults(false, false)
	case "store loses responses":
		s.store.setFaults(false, true)
	case "membership update":
		s.publishMembership()
	}
}

// call makes a call with the key at an entry and stores what the caller observed.
func (s *simulation) call(key string, entry *node) {
	started := time.Now()
	result, requestID := entry.invoke(callOptions{key: key})
	s.testMesh.mu.Lock()
	entryDied := entry.dead
	s.testMesh.mu.Unlock()
	if entryDied {
		// The caller of a dead entry gets no response.
		result = atmostonce.Result{Outcome: board.OutcomeUnknown}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, observedCall{key, requestID, started, time.Now(), result})
}

// runCaller makes calls with new keys until the schedule has ended. Each key is
// sent to two nodes at the same time and later to a third one.
func (s *simulation) runCaller(seed int) {
	for iteration := 0; !s.hasEnded(); iteration++ {
		key := newKey()
		var concurrent sync.WaitGroup
		for i := range 3 {
			if entry := s.liveNode(seed + iteration + i); entry != nil {
				concurrent.Go(func() { s.call(key, entry) })
			}
			if i == 1 {
				concurrent.Wait()
				time.Sleep(time.Duration(1+(seed+iteration)%9) * 400 * time.Millisecond)
			}
		}
		concurrent.Wait()
	}
}

func (s *simulation) hasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

func (s *simulation) liveNode(i int) *node {
	s.testMesh.mu.Lock()
	defer s.testMesh.mu.Unlock()
	n := s.nodes[instanceIDs(6)[i%6]]
	if n == nil || n.dead {
		return nil
	}
	return n
}

// Guards the invariants under random fault schedules: each key is executed at
// most once, a call with the outcome not-run was not executed, and the calls of
// each key are linearizable to a write-once record.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		schedule := drawSchedule(rt)
		seed := rapid.Uint64().Draw(rt, "messages")
		var problem string
		synctest.Test(t, func(t *testing.T) {
			s := &simulation{testMesh: newTestMesh(t, instanceIDs(5)...)}
			s.enableRandomFaults(seed)
			s.run(schedule)
			problem = s.check()
		})
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

func (s *simulation) run(schedule []scheduleStep) {
	var callers sync.WaitGroup
	for seed := range 4 {
		callers.Go(func() { s.runCaller(seed) })
	}
	for _, step := range schedule {
		s.apply(step)
		time.Sleep(step.Wait)
	}
	s.apply(scheduleStep{Kind: "heal"})
	s.apply(scheduleStep{Kind: "store up"})
	s.publishMembership()
	time.Sleep(20 * time.Second)
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	callers.Wait()
}

// check returns the first violated invariant, or "".
func (s *simulation) check() string {
	succeeded := 0
	for key, executions := range s.executions {
		if len(executions) > 1 {
			return fmt.Sprintf("key %s was executed %d times:", key, len(executions)) + s.describe(key)
		}
	}
	for _, c := range s.calls {
		executions := s.executions[c.key]
		if c.result.Outcome == board.OutcomeNotRun && len(executions) > 0 && executions[0] == c.requestID {
			return fmt.Sprintf("key %s was executed, but its caller got not-run: %s", c.key, c.result.Reason)
		}
		if c.result.Outcome == board.OutcomeSucceeded {
			succeeded++
		}
	}
	if succeeded == 0 {
		return "no call has succeeded"
	}
	for _, part := range writeOnceModel().Partition(s.operations()) {
		if !porcupine.CheckOperations(writeOnceModel(), part) {
			return "the calls of a key are not linearizable:" + s.describe(part[0].Input.(string))
		}
	}
	return ""
}

func (s *simulation) describe(key string) string {
	text := fmt.Sprintf(" executions %v", s.executionLog[key])
	for _, c := range s.calls {
		if c.key == key {
			text += fmt.Sprintf("\n%s from %s to %s: %s %s", c.requestID, c.startedAt.Format(timeFormat),
				c.endedAt.Format(timeFormat), c.result.Outcome, c.result.Reason)
		}
	}
	return text
}

const timeFormat = "04:05.000"

// callEffect is the effect of a call on its key: executed is the call's own
// request ID if it was executed, readFrom is the request ID of the execution
// whose recorded response it got, and reportedNotRun is set if the key was
// reported as not run.
type callEffect struct {
	executed, readFrom string
	reportedNotRun     bool
}

// operations returns the history for porcupine. A call with the outcome unknown
// may take effect at any later time.
func (s *simulation) operations() []porcupine.Operation {
	var history []porcupine.Operation
	for i, c := range s.calls {
		output := callEffect{}
		if executions := s.executions[c.key]; len(executions) > 0 && executions[0] == c.requestID {
			output.executed = c.requestID
		}
		end := c.endedAt.UnixNano()
		switch {
		case c.result.Outcome == board.OutcomeUnknown:
			end = math.MaxInt64
		case c.result.Outcome == board.OutcomeNotRun:
			// Key in progress means that another call may execute the key.
			output.reportedNotRun = c.result.Reason != board.ReasonKeyInProgress
		case c.result.Record != nil:
			output.readFrom = string(c.result.Record.Response.Body)
		}
		history = append(history, porcupine.Operation{
			ClientId: i, Input: c.key, Call: c.startedAt.UnixNano(), Output: output, Return: end,
		})
	}
	return history
}

// writeOnceModel models a write-once record. Its state is the ID of the request
// that was executed.
func writeOnceModel() porcupine.Model {
	return porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			byKey := map[string][]porcupine.Operation{}
			for _, o := range history {
				byKey[o.Input.(string)] = append(byKey[o.Input.(string)], o)
			}
			var parts [][]porcupine.Operation
			for _, part := range byKey {
				parts = append(parts, part)
			}
			return parts
		},
		Init: func() any { return "" },
		Step: func(state, _, output any) (bool, any) {
			executed, effect := state.(string), output.(callEffect)
			switch {
			case effect.executed != "":
				return executed == "", effect.executed
			case effect.reportedNotRun:
				return executed == "", executed
			case effect.readFrom != "":
				return executed == effect.readFrom, executed
			}
			return true, executed
		},
	}
}
