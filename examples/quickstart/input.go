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

// RecordedCall is one call of the recorded input.
type RecordedCall struct {
	Offset time.Duration
	Kind   string
	Caller string
	Method string
	// Service and Path are the two parts of the path of the call.
	Service string
	Path    string
	Body    string
}

// recordingPeriod is the time after which the recorded input starts again.
const recordingPeriod = 2 * time.Second

// columnCount of the input file: offset in ms, kind, caller, method, path, body.
const columnCount = 6

// readRecording reads a recorded input file.
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
			return nil, errors.Errorf("%s:%d: offset is lower than the one before", file, line)
		}
		list = append(list, r)
	}
	if len(list) == 0 {
		return nil, errors.Errorf("%s holds no call", file)
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
