package board

import (
	"sync/atomic"
	"time"
)

// ServerLoad holds the latest load report of the local backend server and its
// observed contention.
type ServerLoad struct {
	report     atomic.Pointer[ServerLoadReport]
	contention atomic.Uint32
}

// ServerLoadReport is a load report of a backend server.
type ServerLoadReport struct {
	Running, Waiting, Slots int
	// Slowdown is the current service time relative to the normal one.
	Slowdown float64
	// MinSlowdown is the minimum of the recent slowdowns.
	MinSlowdown float64
	// RequestedAt is when the health request was sent that got this report. It is zero
	// for reports in responses to calls.
	RequestedAt time.Time
	// ReceivedAt is when this node received the report.
	ReceivedAt time.Time
}

// SetReport stores the latest report.
func (l *ServerLoad) SetReport(report ServerLoadReport) { l.report.Store(&report) }

// SetContention stores the observed contention.
func (l *ServerLoad) SetContention(c Contention) { l.contention.Store(uint32(c)) }

// Contention returns the observed contention.
func (l *ServerLoad) Contention() Contention { return Contention(l.contention.Load()) }

// LatestReport returns the latest report, or nil when there is none.
func (l *ServerLoad) LatestReport() *ServerLoadReport { return l.report.Load() }
