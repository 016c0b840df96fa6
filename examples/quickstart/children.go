package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// stopTimeout is the time that a child has to stop gracefully.
const stopTimeout = 5 * time.Second

// childProcess is one process that this program started.
type childProcess struct {
	name    string
	cmd     *exec.Cmd
	logFile *os.File
	// stopRequested is set before the child is asked to end.
	stopRequested atomic.Bool
	exited        chan struct{}
}

// startProcess starts a program with its output in a log file. The child gets a
// process group of its own, so that an interrupt reaches it only from here,
// and it is killed when this program dies.
func startProcess(name, logDir, program string, args ...string) (*childProcess, error) {
	logFile, err := os.Create(filepath.Join(logDir, name+".log"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = logFile.Close()
		return nil, errors.Annotatef(err, "starting %s", name)
	}
	c := &childProcess{name: name, cmd: cmd, logFile: logFile, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		_ = logFile.Close()
		close(c.exited)
	}()
	return c, nil
}

// signal sends a signal to the child by its process ID.
func (c *childProcess) signal(s syscall.Signal) {
	c.stopRequested.Store(true)
	_ = c.cmd.Process.Signal(s)
}

// stop ends the child, by force when it does not stop in time.
func (c *childProcess) stop() {
	c.signal(syscall.SIGTERM)
	select {
	case <-c.exited:
		return
	case <-time.After(stopTimeout):
	}
	c.signal(syscall.SIGKILL)
	<-c.exited
}

// exitedUnexpectedly reports whether the child ended without being asked to.
func (c *childProcess) exitedUnexpectedly() bool {
	select {
	case <-c.exited:
		return !c.stopRequested.Load()
	default:
		return false
	}
}

// stopProcesses ends children at the same time.
func stopProcesses(children []*childProcess) {
	var wg sync.WaitGroup
	for _, c := range children {
		wg.Go(c.stop)
	}
	wg.Wait()
}
