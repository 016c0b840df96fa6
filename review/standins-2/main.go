// Command lab plays the scripted cases of the second review: it starts the project's
// node as separate processes, with stand-ins of the store, the backends and the clients.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// lab is what a case needs.
type lab struct {
	binary, dir string
	rec         *record
	// trouble is false if the case is to be played without its disruption.
	trouble bool
	// moreSettings are further lines of the section platform.
	moreSettings string
	// staleness is how old the store's answers with stale_ok are.
	staleness time.Duration
}

var cases = map[string]func(*lab) (bool, error){
	"6":  playCrashingRequest,
	"7":  playLeavingAfterKill,
	"8":  playLiftedQuota,
	"9":  playSilentExecutor,
	"10": playPipelineBehindDownload,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE BINARY RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func play(run func(*lab) (bool, error), binary, recordFile string) int {
	binary, err := filepath.Abs(binary)
	if err != nil {
		return notRun(err)
	}
	file, err := os.Create(recordFile)
	if err != nil {
		return notRun(err)
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return notRun(err)
	}
	defer os.RemoveAll(dir)
	if keep := os.Getenv("KEEP"); keep != "" {
		dir = keep
	}
	l := &lab{binary: binary, dir: dir, rec: &record{file: file, started: time.Now()}, trouble: os.Getenv("TROUBLE") != "0"}
	held, err := run(l)
	if err != nil {
		l.rec.printf("the case could not run: %v", err)
		return notRun(err)
	}
	if !held {
		l.rec.printf("verdict: the rule was broken")
		fmt.Println("broken")
		return exitBroken
	}
	l.rec.printf("verdict: the rule held")
	fmt.Println("held")
	return exitHeld
}

func notRun(err error) int {
	fmt.Fprintln(os.Stderr, "not run:", err)
	return exitNotRun
}

// config returns a configuration like that of ctrt-mesh.
func config(downloadTimeout, readTimeout float64) string {
	return fmt.Sprintf(`{"version":"r7","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},
"listeners":[{"host":"ficu95.example","rules":[
{"name":"r-gabarit","kind":"download","target_latency_s":0.6,"priority":2,"match":{"prefix":"/pule252/"},"action":{"service":"plan-depot","timeout_s":%g,"max_attempts":2}},
{"name":"r-historique","kind":"idempotent","target_latency_s":0.6,"priority":2,"match":{"prefix":"/lohu930/"},"action":{"service":"atelier-suivi","timeout_s":%g,"max_attempts":2}}]}],
"clusters":[{"name":"atelier-suivi","health_path":"/healthz","max_connections":220,"protocol":"h1","tls":false},
{"name":"plan-depot","health_path":"/healthz","max_connections":220,"protocol":"h1","tls":false}]}`, downloadTimeout, readTimeout)
}

const (
	downloadPath = "/pule252/2f"
	readPath     = "/lohu930/2f"
	// backendSlots are the slots of each backend of ctrt-mesh.
	backendSlots = 9
	// downloadBytes is the largest answer of the class gabarit of ctrt-mesh, readBytes
	// the mean of historique.
	downloadBytes = 540_000
	readBytes     = 1500
)

func bodySize(path string) int {
	if path == downloadPath {
		return downloadBytes
	}
	return readBytes
}

func workTime(path string) time.Duration {
	if path == downloadPath {
		return 180 * time.Millisecond
	}
	return 220 * time.Millisecond
}

// twoServices are the services of a site with three machines beside backends of
// atelier-suivi and two beside backends of plan-depot.
var twoServices = []string{"atelier-suivi", "atelier-suivi", "atelier-suivi", "plan-depot", "plan-depot"}

func (l *lab) start(config string, services []string) (*site, error) {
	s, err := newSite(l, config, services)
	if err != nil {
		if s != nil {
			s.stop()
		}
		return nil, err
	}
	l.rec.printf("%d nodes are ready", len(s.nodes))
	return s, nil
}
