// Package hang decides how many slots of a backend server are taken by calls that this
// node no longer waits for, and whether a backend server hangs. Some backend servers
// never respond to a request that they cannot queue, nor to any further one on the same
// connection. All functions are pure.
package hang

import "time"

const (
	// durationFactor is the longest service time to expect, as a multiple of the nominal
	// one. Load reports show earlier that a call has ended.
	durationFactor = 2
	// maxAbandonedTime bounds the time for which an abandoned call counts.
	maxAbandonedTime = 5 * time.Second
	// overdueFactor is the multiple of its nominal time after which a call without a
	// response is suspected of hanging.
	overdueFactor = 2.5
	// missingReports is the number of load reports during a call that must show fewer
	// calls than are known to be there. One may be taken while the backend server moves
	// a call from its queue to a slot. Others may contain abandoned calls instead.
	missingReports = 2
	// maxReportAge is the age up to which a load report is used. Health checks fetch the
	// load each 100 ms.
	maxReportAge = time.Second
	// settleTime is the time that a request, a response or the end of a connection may be
	// on its way.
	settleTime = 10 * time.Millisecond
)

// Abandoned is a call whose connection was closed before the response.
type Abandoned struct {
	At time.Time
	// EndsBy is when the backend server has finished the call, if it goes on with it.
	EndsBy time.Time
}

// Abandon returns the record of a call that is abandoned now. progress is the part of
// its nominal time that is done, slowdown the current slowdown of the backend server.
func Abandon(nominal, progress time.Duration, slowdown float64, now time.Time) Abandoned {
	left := max(0, durationFactor*float64(nominal)-float64(progress)) * max(1, slowdown)
	return Abandoned{At: now, EndsBy: now.Add(min(time.Duration(left), maxAbandonedTime))}
}

// Unfinished returns the calls that may still run.
func Unfinished(calls []Abandoned, now time.Time) []Abandoned {
	var unfinished []Abandoned
	for _, c := range calls {
		if c.EndsBy.After(now) {
			unfinished = append(unfinished, c)
		}
	}
	return unfinished
}

// Report is a load report that the backend server gave in a health response.
type Report struct {
	// Total is the number of calls that run or wait at the backend server.
	Total int
	// Sent is the number of calls that Total contains unless they hang: this node sent
	// them before the health request, and their responses were not on their way when the
	// report was given. Hung is the number of those that were known to hang.
	Sent, Hung int
	// Active is the number of calls that this node waited for when the report arrived.
	// Total contains those of them that the backend server had received.
	Active int
	// RequestedAt is when the health request was sent.
	RequestedAt time.Time
	ReceivedAt  time.Time
}

// fresh reports whether the report can be used.
func (r Report) fresh(now time.Time) bool {
	return !r.ReceivedAt.IsZero() && now.Sub(r.ReceivedAt) <= maxReportAge
}

// excess returns the largest number of calls at the backend server for which this node
// did not wait.
func (r Report) excess() int { return max(0, r.Total-(r.Sent-r.Hung)) }

// Occupied returns the number of slots that abandoned calls take: those that were
// abandoned since the report, and of the others as many as the report shows at most.
// Without a recent report all of them count until they must have ended.
func Occupied(calls []Abandoned, report Report, now time.Time) int {
	before, since := 0, 0
	for _, c := range calls {
		switch {
		case !c.EndsBy.After(now):
		case report.fresh(now) && report.Covers(c.At):
			before++
		default:
			since++
		}
	}
	return since + min(before, report.excess())
}

// Inherited returns the number of slots that calls of an earlier process of the node
// take after a report, given the number before it; a negative one is not known yet. It
// never rises, since the earlier process sends nothing more. Calls of this process that
// the report may contain are left out, since it sends some all the time.
func Inherited(before int, report Report) int {
	inherited := max(0, report.Total-report.Active)
	if before < 0 {
		return inherited
	}
	return min(before, inherited)
}

// Overdue reports whether a call without a response has taken far longer than usual.
// progress is its time at the backend server without the slowdown of the host.
func Overdue(nominal, progress time.Duration) bool {
	return nominal > 0 && float64(progress) >= overdueFactor*float64(nominal)
}

// Covers reports whether the backend server must have noticed the request or the closed
// connection of a call before it gave the report.
func (r Report) Covers(at time.Time) bool { return !at.After(r.RequestedAt.Add(-settleTime)) }

// Settled reports whether no response can be on its way any more that was sent before
// the report.
func (r Report) Settled(now time.Time) bool { return now.Sub(r.ReceivedAt) >= settleTime }

// WithoutEnded returns the report after the end of a call. A call that ends just after
// the report arrived may have ended at the backend server before.
func (r Report) WithoutEnded(startedAt, now time.Time) Report {
	if r.Covers(startedAt) && !r.Settled(now) {
		r.Sent = max(0, r.Sent-1)
	}
	return r
}

// Missing returns the number of reports that show fewer calls than were sent, up to one
// after which settleTime has passed.
func Missing(before int, settled Report) int {
	if settled.Sent > settled.Total {
		return before + 1
	}
	return before
}

// Hangs reports whether a call shows that its backend server hangs: it is overdue, and
// the backend server did not know all calls meanwhile. A call that only takes long, for
// example because it waits for nested calls, is known there.
func Hangs(overdue bool, missing int) bool { return overdue && missing >= missingReports }
