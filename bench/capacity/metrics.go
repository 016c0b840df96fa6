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
	// clockTicksPerSecond is USER_HZ, the unit of CPU times in /proc/PID/stat.
	clockTicksPerSecond = 100
)

// labelPattern matches one label of a sample: its name and its value.
var labelPattern = regexp.MustCompile(`(\w+)="([^"]*)"`)

// parseMetrics parses the Prometheus text format and returns the values by name:
// the name of the metric without metricPrefix, followed by the values of its
// labels other than node in their order, as in
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

// processCPUSeconds returns the CPU time that a process has used.
func processCPUSeconds(pid int) (float64, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0, errors.Trace(err)
	}
	return parseCPUSeconds(string(data))
}

// parseCPUSeconds returns the sum of user and system time, fields 14 and 15 of
// /proc/PID/stat. The program name, field 2, may contain spaces and parentheses,
// so fields are counted from the last closing parenthesis.
func parseCPUSeconds(stat string) (float64, error) {
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	const user, system = 11, 12
	if len(fields) <= system {
		return 0, errors.Errorf("no CPU times in /proc/PID/stat: %d fields after the program name", len(fields))
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

// processResidentBytes returns the resident set size of a process.
func processResidentBytes(pid int) (float64, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/statm")
	if err != nil {
		return 0, errors.Trace(err)
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, errors.New("no resident set size in /proc/PID/statm")
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize()), errors.Trace(err)
}
