package main

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a wrong slope, and against a division by zero in a run with one
// fleet size.
func TestFitLine(t *testing.T) {
	trend := fitLine([]float64{10, 40, 100, 200}, []float64{30, 90, 210, 410})
	require.InDelta(t, 2, trend.slope, 1e-9)
	require.InDelta(t, 10, trend.intercept, 1e-9)
	require.InDelta(t, 1210, trend.at(designSize), 1e-9)
	require.Equal(t, fittedLine{intercept: 7}, fitLine([]float64{10}, []float64{7}))
	require.Equal(t, fittedLine{}, fitLine(nil, nil))
}

// Guards against samples that are confused because their labels or the metric
// prefix are parsed wrongly.
func TestParseMetrics(t *testing.T) {
	metrics := parseMetrics([]byte(`# HELP mangostand_message_bytes_sent_total x
mangostand_message_bytes_sent_total{class="control",node="n",type="ping"} 12
mangostand_message_bytes_sent_total{class="keys",node="n",type="claim"} 1.5e+03
go_goroutines 40
mangostand_broken x
`))
	require.Equal(t, map[string]float64{
		"message_bytes_sent_total/control/ping": 12, "message_bytes_sent_total/keys/claim": 1500, "go_goroutines": 40,
	}, metrics)
}

// Guards against a program name with spaces or parentheses that shifts the fields.
func TestParseCPUSeconds(t *testing.T) {
	seconds, err := parseCPUSeconds("7 (a ) b) S 1 7 7 0 -1 4194304 1 2 3 4 150 50 0 0 20 0")
	require.NoError(t, err)
	require.InDelta(t, 2, seconds, 1e-9)
	_, err = parseCPUSeconds("7 (a) S 1")
	require.Error(t, err)
}

// Guards against fleet sizes that would start too many processes or shrink the
// fleet.
func TestParseSizes(t *testing.T) {
	sizes, err := parseSizes("10, 40,200")
	require.NoError(t, err)
	require.Equal(t, []int{10, 40, 200}, sizes)
	for _, bad := range []string{"", "0", "1", "10,10", "40,10", "201", "x"} {
		_, err := parseSizes(bad)
		require.Error(t, err, bad)
	}
}
