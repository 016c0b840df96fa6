package mesh_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkForwardResponse measures calls through the node of the caller to a backend
// server beside another node, by the size of the response. cpu-us/op is the processor
// time of the whole test process.
func BenchmarkForwardResponse(b *testing.B) {
	for _, size := range []int{4 << 10, 540_000} {
		b.Run(fmt.Sprintf("%dKB", size>>10), func(b *testing.B) {
			body := strings.Repeat("x", size)
			server := startBackend(b, func(conn net.Conn, r *http.Request) bool { return respond(conn, r, http.StatusOK, body) })
			nodes := startFleet(b, startBackend(b, respondOK), server)
			nodes[0].publishFleet(nodes[1:])
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			before := processorMicros(b)
			for i := range b.N {
				req, err := http.NewRequest(http.MethodGet, "http://"+nodes[0].callerAddr+"/read/a", nil)
				require.NoError(b, err)
				req.Host = "h"
				req.Header.Set(headerID, fmt.Sprint(i))
				req.Header.Set(headerDeadline, "2000")
				resp, err := transport.RoundTrip(req)
				require.NoError(b, err)
				n, err := io.Copy(io.Discard, resp.Body)
				require.NoError(b, err)
				require.EqualValues(b, size, n)
				_ = resp.Body.Close()
			}
			b.ReportMetric(float64(processorMicros(b)-before)/float64(b.N), "cpu-us/op")
		})
	}
}

// processorMicros returns the processor time that the process has used.
func processorMicros(b *testing.B) int64 {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return (usage.Utime.Nano() + usage.Stime.Nano()) / 1000
}
