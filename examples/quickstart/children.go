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

// child is one process that this program started.
type child struct {
	name string
	cmd  *exec.Cmd
	log  *os.File
	// stopping is set before the child is asked to end.
	stopping atomic.Bool
	exited   chan struct{}
}

// newChild starts a program with its output in a log file. The child gets a
// process group of its own, so that an interrupt reaches it only from here,
// and it is killed when this program dies.
func newChild(name, logs, program string, args ...string) (*child, error) {
	log, err := os.Create(filepath.Join(logs, name+".log"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return nil, errors.Annotatef(err, "starting %s", name)
	}
	c := &child{name: name, cmd: cmd, log: log, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(c.exited)
	}()
	return c, nil
}

// signal sends a signal to the child by its process ID.
func (c *child) signal(s syscall.Signal) {
	c.stopping.Store(true)
	_ = c.cmd.Process.Signal(s)
}

// stop ends the child, by force when it does not stop in time.
func (c *child) stop() {
	c.signal(syscall.SIGTERM)
	select {
	case <-c.exited:
		return
	case <-time.After(stopTimeout):
	}
	c.signal(syscall.SIGKILL)
	<-c.exited
}

// died reports whether the child ended without being asked to.
func (c *child) died() bool {
	select {
	case <-c.exited:
		return !c.stopping.Load()
	default:
		return false
	}
}

// stopAll ends children at the same time.
func stopAll(children []*child) {
	var wg sync.WaitGroup
	for _, c := range children {
		wg.Go(c.stop)
	}
	wg.Wait()
}
