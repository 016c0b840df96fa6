package wire

import (
	"bytes"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
)

// Guards against a probe that costs more bytes than the budgets count.
func TestProbeCostCoversBothFrames(t *testing.T) {
	const packetHeader = 72
	id := board.InstanceID(strings.Repeat("x", 64))
	var probe, answer bytes.Buffer
	require.NoError(t, WriteMessage(&probe, TypeProbe, Probe{Instance: id}))
	require.NoError(t, WriteMessage(&answer, TypeProbeResponse, ProbeResponse{Instance: id, Incarnation: math.MaxUint64, LoadReport: board.LoadReport{
		InFlight: math.MaxUint32, Queued: math.MaxUint32, Limit: math.MaxUint32, LatencyMicros: math.MaxUint32,
		Draining: true, Sequence: math.MaxUint64, ServerReportedInFlight: math.MaxUint32,
	}}))
	require.LessOrEqual(t, probe.Len()+answer.Len()+2*packetHeader, ProbeCostBytes)
}
