package main

import (
	"bufio"
	"bytes"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// RecordedCall is one call of a recording.
type RecordedCall struct {
	// Offset is the time from the start of the recording.
	Offset time.Duration
	// Kind is the group of similar calls by which results are reported.
	Kind   string
	Caller string
	Method string
	// Service is the first element of the recorded path, Path the rest of it.
	Service string
	Path    string
	Body    string
}

// recordingPeriod is the duration of a recording, after which it is replayed from
// its start.
const recordingPeriod = 2 * time.Second

// columnCount is the number of columns of a recording: offset in ms, kind, caller,
// method, path, body.
const columnCount = 6

// readRecording reads a file of tab-separated calls in the order of their offsets.
func readRecording(file string) ([]RecordedCall, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var list []RecordedCall
	scanner := bufio.NewScanner(bytes.NewReader(data))
	for line := 1; scanner.Scan(); line++ {
		text := scanner.Text()
		if text == "" || text[0] == '#' {
			continue
		}
		r, err := parseRecordedCall(text)
		if err != nil {
			return nil, errors.Errorf("%s:%d: %v", file, line, err)
		}
		if len(list) > 0 && r.Offset < list[len(list)-1].Offset {
			return nil, errors.Errorf("%s:%d: offset is lower than that of the previous call", file, line)
		}
		list = append(list, r)
	}
	if len(list) == 0 {
		return nil, errors.Errorf("%s contains no calls", file)
	}
	return list, errors.Trace(scanner.Err())
}

func parseRecordedCall(text string) (RecordedCall, error) {
	fields := strings.Split(text, "\t")
	if len(fields) != columnCount {
		return RecordedCall{}, errors.Errorf("expected %d columns, got %d", columnCount, len(fields))
	}
	ms, err := strconv.ParseFloat(fields[0], 64)
	offset := time.Duration(ms * float64(time.Millisecond))
	if err != nil || offset < 0 || offset >= recordingPeriod {
		return RecordedCall{}, errors.Errorf("offset %q: expected 0 to %d ms", fields[0], recordingPeriod.Milliseconds())
	}
	service, path, ok := strings.Cut(strings.TrimPrefix(fields[4], "/"), "/")
	if !ok || service == "" {
		return RecordedCall{}, errors.Errorf("path %q: expected /SERVICE/PATH", fields[4])
	}
	body := fields[5]
	if body == "-" {
		body = ""
	}
	return RecordedCall{
		Offset: offset, Kind: fields[1], Caller: fields[2], Method: fields[3],
		Service: service, Path: "/" + path, Body: body,
	}, nil
}
