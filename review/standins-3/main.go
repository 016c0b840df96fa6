package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit statuses of a case.
const (
	held    = 0
	broken  = 1
	failure = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: lab CASE FOLDER")
		os.Exit(failure)
	}
	plays := map[string]func(*record, string, bool) (int, error){
		"lasttenant": playLastTenant, "stopping": playStopping, "forgotten": playForgotten, "queued": playQueued,
	}
	play := plays[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "lab: no such case")
		os.Exit(failure)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		os.Exit(failure)
	}
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		os.Exit(failure)
	}
	rec := &record{file: file, start: time.Now()}
	clientRecord = rec
	status, err := play(rec, dir, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.printf("the case could not run: %v", err)
		status = failure
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs in", dir)
	} else {
		_ = os.RemoveAll(dir)
	}
	rec.printf("exit status %d", status)
	fmt.Printf("%s: %s\n", os.Args[1], map[int]string{held: "the rule held", broken: "the rule was broken", failure: "the case could not run"}[status])
	os.Exit(status)
}
