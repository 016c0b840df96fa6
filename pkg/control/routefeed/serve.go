package routefeed

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/distribution"
)

// PullRequest asks a node for its configuration.
type PullRequest struct {
	// Base is the version in force at the sender, 0 if it has none.
	Base uint64 `cbor:"1,keyasint"`
	// PeerAddr is the address of the sender for other nodes.
	PeerAddr string `cbor:"2,keyasint"`
}

// PullResponse is the response to a PullRequest.
type PullResponse struct {
	// Version is the version in force at the responding node.
	Version uint64 `cbor:"1,keyasint"`
	// Data is the compressed document, or its difference from that of the version
	// DifferenceFrom if that is not 0.
	Data           []byte `cbor:"2,keyasint,omitempty"`
	DifferenceFrom uint64 `cbor:"3,keyasint,omitempty"`
	// AgeMillis is the time since the first node read the version from the store.
	AgeMillis int64 `cbor:"4,keyasint"`
	// Busy is set if the node serves as many pulls as it can. Data is then empty, and
	// Holders are the addresses of some nodes that have pulled the version from it.
	Busy    bool     `cbor:"5,keyasint,omitempty"`
	Holders []string `cbor:"6,keyasint,omitempty"`
}

const (
	// maxHolders bounds the nodes that a Server remembers, and namedHolders those that
	// it names to a node that it does not serve.
	maxHolders   = 16
	namedHolders = 3
)

// Server responds to pulls. It is safe for concurrent use.
type Server struct {
	Board *board.MeshBoard

	serving atomic.Int64
	holders atomic.Pointer[versionHolders]
}

// versionHolders are nodes that have pulled a version, the latest ones. It is
// immutable.
type versionHolders struct {
	version uint64
	addrs   []string
}

// Respond returns the response to a pull and a function to call when it was sent or
// given up. A node that serves others already rejects a pull at once, so that no pull
// waits longer than another source would take.
func (s *Server) Respond(request *PullRequest, now time.Time) (*PullResponse, func(sent bool), error) {
	set := s.Board.RouteDocument.Load()
	response := &PullResponse{Version: set.Version, AgeMillis: now.Sub(set.ReadAt).Milliseconds()}
	if set.Version <= request.Base {
		return response, func(bool) {}, nil
	}
	encoded, err := set.Encode(request.Base)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	if s.serving.Add(1) > int64(distribution.MaxServed(s.Board.Self.LinkRate, len(encoded.Data))) {
		s.serving.Add(-1)
		response.Busy, response.Holders = true, s.someHolders(set.Version)
		return response, func(bool) {}, nil
	}
	response.Data, response.DifferenceFrom = encoded.Data, encoded.Base
	var once sync.Once
	return response, func(sent bool) {
		once.Do(func() {
			s.serving.Add(-1)
			if sent {
				s.addHolder(set.Version, request.PeerAddr)
			}
		})
	}, nil
}

// addHolder records that a node has pulled a version.
func (s *Server) addHolder(version uint64, addr string) {
	for {
		old := s.holders.Load()
		next := &versionHolders{version: version}
		if old != nil && old.version > version {
			return
		}
		if old != nil && old.version == version {
			next.addrs = old.addrs[max(0, len(old.addrs)+1-maxHolders):]
		}
		next.addrs = append(append([]string{}, next.addrs...), addr)
		if s.holders.CompareAndSwap(old, next) {
			return
		}
	}
}

// someHolders returns random nodes that have pulled a version.
func (s *Server) someHolders(version uint64) []string {
	known := s.holders.Load()
	if known == nil || known.version != version {
		return nil
	}
	var addrs []string
	for _, i := range rand.Perm(len(known.addrs))[:min(namedHolders, len(known.addrs))] {
		addrs = append(addrs, known.addrs[i])
	}
	return addrs
}
