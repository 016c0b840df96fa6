package main

import (
	"net"
	"os"
	"strconv"

	"github.com/juju/errors"
)

// Ports are taken from a range below the usual ephemeral ports, so that no
// outgoing connection takes one between its check and its use.
const (
	firstPort      = 20000
	lastPort       = 32000
	portsPerRun    = 120
	portRangeCount = (lastPort - firstPort) / portsPerRun
)

// addrAllocator hands out free addrAllocator. Runs at the same time start at different ones.
type addrAllocator struct {
	nextPort int
}

func newAddrAllocator() *addrAllocator {
	return &addrAllocator{nextPort: firstPort + os.Getpid()%portRangeCount*portsPerRun}
}

// allocate returns IP:port with a port that is free for TCP and UDP.
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
