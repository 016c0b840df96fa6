package main

import (
	"bufio"
	"bytes"
	"os"
	"regexp"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

const (
	metricPrefix = "mangostand_"
	// clockTicksPerSecond is the unit of the processor times in /proc/PID/stat per second.
	clockTicksPerSecond = 100
)

// labelPattern finds the label values of a sample.
var labelPattern = regexp.MustCompile(`(\w+)="([^"]*)"`)

// parseMetrics reads the text format. A sample is named without the prefix and
// with the values of its labels other than the node, in their order:
// message_bytes_sent_total/control/ping.
func parseMetrics(data []byte) map[string]float64 {
	metrics := map[string]float64{}
	scanner := bufio.NewScanner(bytes.NewReader(data))
	for scanner.Scan() {
		line := scanner.Text()
		space := strings.LastIndexByte(line, ' ')
		if strings.HasPrefix(line, "#") || space < 0 {
			continue
		}
		value, err := strconv.ParseFloat(line[space+1:], 64)
		if err != nil {
			continue
		}
		name, labels, _ := strings.Cut(line[:space], "{")
		name = strings.TrimPrefix(name, metricPrefix)
		for _, label := range labelPattern.FindAllStringSubmatch(labels, -1) {
			if label[1] != "node" {
				name += "/" + label[2]
			}
		}
		metrics[name] = value
	}
	return metrics
}

// processCPUSeconds returns the processor time that a process has used.
func processCPUSeconds(pid int) (float64, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0, errors.Trace(err)
	}
	return parseCPUSeconds(string(data))
}

// parseCPUSeconds adds user and system time, the fields 14 and 15. The name of the
// program, field 2, may contain blanks and parentheses.
func parseCPUSeconds(stat string) (float64, error) {
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	const user, system = 11, 12
	if len(fields) <= system {
		return 0, errors.Errorf("processor times: %d fields", len(fields))
	}
	ticks := 0.0
	for _, i := range []int{user, system} {
		n, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return 0, errors.Trace(err)
		}
		ticks += n
	}
	return ticks / clockTicksPerSecond, nil
}

// processResidentBytes returns the resident memory of a process.
func processResidentBytes(pid int) (float64, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/statm")
	if err != nil {
		return 0, errors.Trace(err)
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, errors.New("resident memory: no such field")
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize()), errors.Trace(err)
}
