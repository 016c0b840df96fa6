package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"github.com/juju/errors"
)

// childProcess is a process that this program started.
type childProcess struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
}

// startProcess starts a program with its output in a log file. The kernel kills the
// child when this program ends.
func startProcess(dir, name, program string, args ...string) (*childProcess, error) {
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	err = cmd.Start()
	_ = log.Close()
	if err != nil {
		return nil, errors.Annotatef(err, "starting %s", name)
	}
	c := &childProcess{name: name, cmd: cmd, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(c.exited)
	}()
	return c, nil
}

// kill kills the child and waits for its exit. Nodes keep no persistent state,
// and stopping a whole fleet gracefully would cause many membership changes.
func (c *childProcess) kill() {
	_ = c.cmd.Process.Kill()
	<-c.exited
}

func (c *childProcess) hasExited() bool {
	select {
	case <-c.exited:
		return true
	default:
		return false
	}
}
