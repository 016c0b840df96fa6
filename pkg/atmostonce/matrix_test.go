package atmostonce_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/atmostonce"
	"mangostand.example/mangostand/pkg/board"
)

// The parts of the nodes in each row.
const (
	rowEntry    board.InstanceID = "n0"
	rowExecutor board.InstanceID = "n1"
	rowHome     board.InstanceID = "n3"
	// rowRepeater and rowJudge take the repetitions of the key; no fault strikes
	// them.
	rowRepeater board.InstanceID = "n2"
	rowJudge    board.InstanceID = "n4"
)

const (
	// rowDetection is the time until the membership notices a death.
	rowDetection = 4 * time.Second
	// rowOutage is how long a node is frozen or cut off: past the epoch change.
	rowOutage = 14 * time.Second
	// rowSettled is when all faults have ended and their epoch changes, too.
	rowSettled = 40 * time.Second
)

// rowFault is one fault of the matrix; strike starts it and lets it end.
type rowFault struct {
	name   string
	strike func(f *fabric)
}

// nodeFaults are the faults of one node.
func nodeFaults(part string, name board.InstanceID) []rowFault {
	return []rowFault{
		{"kill " + part, func(f *fabric) {
			f.crash(name)
			time.AfterFunc(rowDetection, f.detect)
		}},
		{"freeze " + part, func(f *fabric) {
			f.freeze(name)
			time.AfterFunc(rowDetection, f.detect)
			time.AfterFunc(rowOutage, func() {
				f.thaw(name)
				f.detect()
			})
		}},
		{"cut off " + part, func(f *fabric) {
			f.split(1, name)
			time.AfterFunc(rowDetection, f.detect)
			time.AfterFunc(rowOutage, func() {
				f.split(0, name)
				f.detect()
			})
		}},
	}
}

func (f *fabric) setFaults(change func(*rowFaults)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.faults)
}

// messageFaults strike the next message of the call.
var messageFaults = []rowFault{
	{"lose question", func(f *fabric) { f.setFaults(func(r *rowFaults) { r.loseQuestions++ }) }},
	{"lose answer", func(f *fabric) { f.setFaults(func(r *rowFaults) { r.loseAnswers++ }) }},
	{"late message", func(f *fabric) { f.setFaults(func(r *rowFaults) { r.lateMessages++ }) }},
	{"duplicate message", func(f *fabric) { f.setFaults(func(r *rowFaults) { r.duplicates++ }) }},
}

// fleetFaults change the store or the members.
var fleetFaults = []rowFault{
	{"store down", func(f *fabric) {
		f.store.set(true, false)
		time.AfterFunc(rowOutage, func() { f.store.set(false, false) })
	}},
	{"store loses answers, join", func(f *fabric) {
		f.store.set(false, true)
		f.start("n9")
		time.AfterFunc(rowOutage, func() { f.store.set(false, false) })
	}},
	{"drain home", func(f *fabric) { f.drain(rowHome) }},
	{"drain executor", func(f *fabric) { f.drain(rowExecutor) }},
	{"join", func(f *fabric) { f.start("n9") }},
}

func pairFaults() []rowFault {
	var all []rowFault
	all = append(all, nodeFaults("entry", rowEntry)...)
	all = append(all, nodeFaults("home", rowHome)...)
	all = append(all, nodeFaults("executor", rowExecutor)...)
	return append(all, messageFaults[:2]...)
}

func singleFaults() []rowFault {
	all := append(pairFaults(), messageFaults[2:]...)
	return append(all, fleetFaults...)
}

// answer is what one caller of a row saw.
type answer struct {
	request string
	verdict atmostonce.Result
	// ran is the number of executions of the key when the answer was told.
	ran int
	// lost is set when the entry was dead, so that the caller has no answer.
	lost bool
}

func (a answer) String() string {
	if a.lost {
		return "no answer"
	}
	return a.verdict.Outcome.String()
}

// row is one run of a call under faults.
type row struct {
	*fabric
	key     string
	answers sync.WaitGroup
	mu      sync.Mutex
	seen    []answer
}

// call sends the key through a node and keeps the answer.
func (r *row) call(via board.InstanceID, executors ...board.InstanceID) answer {
	r.fabric.mu.Lock()
	n := r.nodes[via]
	r.fabric.mu.Unlock()
	verdict, request := n.carry(attempt{key: r.key, among: executors})
	a := answer{request: request, verdict: verdict, ran: len(r.runsOf(r.key)), lost: r.isDead(n)}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen = append(r.seen, a)
	return a
}

// strikeAt is a fault at a step.
type strikeAt struct {
	step  callStep
	fault rowFault
}

// runRow makes a call under faults, repeats its key while the faults last and
// after they have ended, and returns the first and the last answer.
func runRow(t *testing.T, strikes ...strikeAt) (r *row, first, last answer) {
	r = &row{fabric: newFabric(t, names(5)...)}
	r.key = r.keyAt(rowEntry, rowHome)
	r.setFaults(func(faults *rowFaults) {
		faults.key, faults.strikes = r.key, map[callStep][]func(){}
		for _, s := range strikes {
			faults.strikes[s.step] = append(faults.strikes[s.step], func() { s.fault.strike(r.fabric) })
		}
	})
	started := time.Now()
	r.answers.Go(func() {
		r.reach(r.key, stepReceived)
		first = r.call(rowEntry, rowExecutor)
	})
	for _, after := range []time.Duration{300 * time.Millisecond, 3 * time.Second, 9 * time.Second} {
		r.answers.Go(func() {
			time.Sleep(after)
			r.call(rowRepeater, rowRepeater, rowJudge)
		})
	}
	r.answers.Wait()
	time.Sleep(time.Until(started.Add(rowSettled)))
	last = r.call(rowJudge, rowRepeater, rowJudge)
	// A fault may have struck only now.
	time.Sleep(rowSettled)
	return r, first, last
}

// check returns the first broken invariant of a row, or "".
func (r *row) check(last answer) string {
	runs := r.runsOf(r.key)
	if len(runs) > 1 {
		return fmt.Sprintf("the key ran %d times: %v", len(runs), r.places[r.key])
	}
	for _, a := range r.seen {
		if problem := a.check(runs); problem != "" {
			return problem
		}
	}
	return r.checkState(last)
}

func (a answer) check(runs []string) string {
	if a.lost {
		return ""
	}
	switch a.verdict.Outcome {
	case board.OutcomeNotRun:
		if len(runs) > 0 && runs[0] == a.request || a.ran > 0 && a.verdict.Reason != board.ReasonKeyInProgress {
			return fmt.Sprintf("a caller was told not-run (%s), the key had run", a.verdict.Reason)
		}
	case board.OutcomeSucceeded:
		if len(runs) == 0 {
			return "a caller was told succeeded, the key has not run"
		}
		if a.verdict.Record != nil && string(a.verdict.Record.Response.Body) != runs[0] {
			return "a caller got the answer of another run"
		}
	}
	return ""
}

// checkState judges the state left once all faults have ended: the outcome is
// settled at the home that the live nodes agree on, and new keys are served.
func (r *row) checkState(last answer) string {
	if last.verdict.Outcome == board.OutcomeNotRun {
		return fmt.Sprintf("the key is still refused: %s", last.verdict.Reason)
	}
	done := 0
	for _, n := range r.nodes {
		if record := n.board.Keys.HomeRecords.Get(idOf(r.key)); !n.dead && record != nil && record.State == board.KeyDone {
			done++
		}
	}
	if last.verdict.Outcome == board.OutcomeSucceeded && done == 0 {
		return "no home has the outcome"
	}
	v, _ := r.nodes[rowJudge].carry(attempt{key: newKey(), fresh: true})
	if v.Outcome != board.OutcomeSucceeded {
		return fmt.Sprintf("a new key is not served: %s %s", v.Outcome, v.Reason)
	}
	return ""
}

// rowResults lists, for each single fault and each step in the order of
// callSteps, the executions of the key and what its caller was told first and
// after all faults had ended: s succeeded, u unknown, n not-run, - no answer.
// An unknown at the end is a home that could not reach the holder of a grant;
// it never grants that key again.
var rowResults = map[string]string{
	"kill entry":                "1-s 1-s 1-s 1-s 1-s 1-s 1ss",
	"freeze entry":              "1us 1us 1us 1ss 1ss 1ss 1ss",
	"cut off entry":             "1us 1us 1us 1us 1us 1us 1ss",
	"kill home":                 "1us 1us 1ss 1ss 1ss 1ss 1ss",
	"freeze home":               "1us 1us 1ss 1ss 1ss 1ss 1ss",
	"cut off home":              "1us 1us 1ss 1ss 1ss 1ss 1ss",
	"kill executor":             "0uu 0uu 0uu 0uu 1uu 1uu 1ss",
	"freeze executor":           "0uu 0uu 0uu 0uu 1us 1us 1ss",
	"cut off executor":          "0uu 0uu 0uu 1us 1us 1us 1ss",
	"lose question":             "1ss 1ns 1ns 1ss 1ss 1ss 1ss",
	"lose answer":               "1ss 1ss 1ss 1ss 1ss 1ss 1ss",
	"late message":              "1ss 1ss 1ss 1ss 1ss 1ss 1ss",
	"duplicate message":         "1ss 1ss 1ss 1ss 1ss 1ss 1ss",
	"store down":                "1ss 1ss 1ss 1ss 1ss 1ss 1ss",
	"store loses answers, join": "1ss 1ss 1ss 1ss 1ss 1ss 1ss",
	"drain home":                "1ss 1ss 1ss 1ss 1ss 1ss 1ss",
	"drain executor":            "1ns 1ss 1ss 1ss 1ss 1ss 1ss",
	"join":                      "1ss 1ss 1ss 1ss 1ss 1ss 1ss",
}

// code is an answer as rowResults shows it.
func (a answer) code() string {
	switch {
	case a.lost:
		return "-"
	case a.verdict.Outcome == board.OutcomeSucceeded:
		return "s"
	case a.verdict.Outcome == board.OutcomeNotRun:
		return "n"
	}
	return "u"
}

// TestFaultAtEachStep guards a non-idempotent call against each single fault at
// each of its steps: executions, the outcomes told and the state left.
func TestFaultAtEachStep(t *testing.T) {
	for _, fault := range singleFaults() {
		expected := strings.Fields(rowResults[fault.name])
		require.Len(t, expected, len(callSteps), fault.name)
		for i, step := range callSteps {
			t.Run(fault.name+" at "+string(step), func(t *testing.T) {
				bubble(t, func(t *testing.T) {
					r, first, last := runRow(t, strikeAt{step, fault})
					require.Empty(t, r.check(last), r.describe())
					require.Empty(t, r.faults.strikes, "the fault has not struck")
					got := fmt.Sprintf("%d%s%s", len(r.runsOf(r.key)), first.code(), last.code())
					require.Equal(t, expected[i], got, r.describe())
				})
			})
		}
	}
}

func (r *row) describe() string {
	text := fmt.Sprintf("runs %v", r.places[r.key])
	for _, a := range r.seen {
		text += fmt.Sprintf("\n%s: %s %s", a.request, a, a.verdict.Reason)
	}
	return text
}

// pairSeeds draw the steps of the pairs. They are fixed, so that each run has
// the same rows. One seed takes about 15 s with the race detector.
var pairSeeds = []uint64{20261204}

// TestPairsOfFaults guards the invariants against all pairs of killed, frozen
// and cut off nodes and of lost messages, at steps drawn from fixed seeds.
func TestPairsOfFaults(t *testing.T) {
	faults := pairFaults()
	for _, seed := range pairSeeds {
		random := rand.New(rand.NewPCG(seed, seed))
		for i := range faults {
			for j := i; j < len(faults); j++ {
				a, b := random.IntN(len(callSteps)), random.IntN(len(callSteps))
				steps := []int{a, b}
				sort.Ints(steps)
				one := strikeAt{callSteps[steps[0]], faults[i]}
				two := strikeAt{callSteps[steps[1]], faults[j]}
				t.Run(fmt.Sprintf("seed %d: %s at %s, %s at %s", seed, one.fault.name, one.step, two.fault.name, two.step), func(t *testing.T) {
					bubble(t, func(t *testing.T) {
						r, _, last := runRow(t, one, two)
						require.Empty(t, r.check(last), r.describe())
					})
				})
			}
		}
	}
}
