package main

import (
	"net"
	"os"
	"strconv"

	"github.com/juju/errors"
)

// Ports are allocated below the usual range of ephemeral ports, so that no outgoing
// connection takes a port between its check and its use.
const (
	firstPort      = 20000
	lastPort       = 32000
	portsPerRun    = 120
	portRangeCount = (lastPort - firstPort) / portsPerRun
)

// addrAllocator allocates addresses with free ports. Concurrent runs usually start
// at different ports, chosen by process ID.
type addrAllocator struct {
	nextPort int
}

func newAddrAllocator() *addrAllocator {
	return &addrAllocator{nextPort: firstPort + os.Getpid()%portRangeCount*portsPerRun}
}

// allocate returns IP:port with the next port that is free for TCP and UDP.
func (a *addrAllocator) allocate(ip string) (string, error) {
	for a.nextPort < lastPort {
		addr := net.JoinHostPort(ip, strconv.Itoa(a.nextPort))
		a.nextPort++
		if isFree(addr) {
			return addr, nil
		}
	}
	return "", errors.Errorf("no free port between %d and %d", firstPort, lastPort)
}

func isFree(addr string) bool {
	tcp, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	defer func() { _ = tcp.Close() }()
	udp, err := net.ListenPacket("udp", addr)
	if err != nil {
		return false
	}
	return udp.Close() == nil
}
