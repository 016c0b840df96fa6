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

// stopTimeout bounds the graceful shutdown of a child process.
const stopTimeout = 5 * time.Second

// childProcess is a process that this program started.
type childProcess struct {
	name    string
	cmd     *exec.Cmd
	logFile *os.File
	// stopRequested is set before a signal is sent, after which an exit is
	// expected.
	stopRequested atomic.Bool
	exited        chan struct{}
}

// startProcess starts a program and writes its output to a log file. The child
// has its own process group, so that an interrupt from the terminal does not reach
// it, and is killed when this program dies.
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

// signal sends a signal to the child, whose exit is expected from now on.
func (c *childProcess) signal(s syscall.Signal) {
	c.stopRequested.Store(true)
	_ = c.cmd.Process.Signal(s)
}

// stop terminates the child and kills it if it does not exit within stopTimeout.
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

// exitedUnexpectedly reports whether the child exited without a signal from this
// program.
func (c *childProcess) exitedUnexpectedly() bool {
	select {
	case <-c.exited:
		return !c.stopRequested.Load()
	default:
		return false
	}
}

// stopProcesses stops children concurrently and waits until all have exited.
func stopProcesses(children []*childProcess) {
	var wg sync.WaitGroup
	for _, c := range children {
		wg.Go(c.stop)
	}
	wg.Wait()
}
