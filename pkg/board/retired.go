package board

import (
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// maxRetiredTrafficRows limits the table, because callers choose their own
	// names.
	maxRetiredTrafficRows = 256
	// maxCallerLength is the maximum length of a caller name in the table, in
	// bytes.
	maxCallerLength = 64
	// otherCallers is the caller name of the row for all callers beyond the
	// limit.
	otherCallers = "(other)"
)

// RetiredTrafficKey identifies a row of the retired traffic table.
type RetiredTrafficKey struct {
	Caller  string `json:"caller"`
	Service string `json:"service"`
}

// RetiredTrafficCount is a copy of one row of the retired traffic table.
type RetiredTrafficCount struct {
	RetiredTrafficKey
	Refused     uint64    `json:"refused"`
	LastRefused time.Time `json:"last"`
}

// RetiredTraffic counts the refused calls to retired services and routes, by
// caller and service, so that operators see who still sends them. The request
// path reads an immutable map and updates atomics; adding a row replaces the map.
type RetiredTraffic struct {
	rows     atomic.Pointer[map[RetiredTrafficKey]*retiredTrafficRow]
	observer atomic.Pointer[func(RetiredTrafficKey)]
}

// retiredTrafficRow holds the counters of one row.
type retiredTrafficRow struct {
	refused             atomic.Uint64
	lastRefusedUnixNano atomic.Int64
}

// SetObserver sets a function that is called with the row of each counted call,
// for metrics. The number of distinct rows is limited.
func (r *RetiredTraffic) SetObserver(f func(RetiredTrafficKey)) { r.observer.Store(&f) }

// CountRefusal counts a refused call. Any goroutine may call it.
func (r *RetiredTraffic) CountRefusal(key RetiredTrafficKey, now time.Time) {
	key.Caller = strings.ToValidUTF8(key.Caller[:min(len(key.Caller), maxCallerLength)], "")
	key, row := r.row(key)
	row.refused.Add(1)
	row.lastRefusedUnixNano.Store(now.UnixNano())
	if observe := r.observer.Load(); observe != nil {
		(*observe)(key)
	}
}

// row returns the row for a key and adds it when the table has room; else it
// returns the row for other callers.
func (r *RetiredTraffic) row(key RetiredTrafficKey) (RetiredTrafficKey, *retiredTrafficRow) {
	for {
		old := r.rows.Load()
		var rows map[RetiredTrafficKey]*retiredTrafficRow
		if old != nil {
			rows = *old
		}
		if row := rows[key]; row != nil {
			return key, row
		}
		if len(rows) >= maxRetiredTrafficRows-1 && key.Caller != otherCallers {
			key = RetiredTrafficKey{Caller: otherCallers}
			continue
		}
		next := make(map[RetiredTrafficKey]*retiredTrafficRow, len(rows)+1)
		maps.Copy(next, rows)
		row := &retiredTrafficRow{}
		next[key] = row
		if r.rows.CompareAndSwap(old, &next) {
			return key, row
		}
	}
}

// Rows returns the table, ordered by decreasing number of refused calls.
func (r *RetiredTraffic) Rows() []RetiredTrafficCount {
	counts := []RetiredTrafficCount{}
	rows := r.rows.Load()
	if rows == nil {
		return counts
	}
	for key, row := range *rows {
		counts = append(counts, RetiredTrafficCount{RetiredTrafficKey: key, Refused: row.refused.Load(), LastRefused: time.Unix(0, row.lastRefusedUnixNano.Load()).UTC()})
	}
	slices.SortFunc(counts, func(a, b RetiredTrafficCount) int {
		if a.Refused != b.Refused {
			if a.Refused > b.Refused {
				return -1
			}
			return 1
		}
		return strings.Compare(a.Caller+"\x00"+a.Service, b.Caller+"\x00"+b.Service)
	})
	return counts
}
