package board

import (
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// maxRetiredTrafficRows bounds the table, since callers choose their names.
	maxRetiredTrafficRows = 256
	// maxCallerLength bounds the name of a caller in the table, in bytes.
	maxCallerLength = 64
	// otherCallers is the row of all callers beyond the bound.
	otherCallers = "(other)"
)

// RetiredTrafficKey names one row of the table of retired traffic.
type RetiredTrafficKey struct {
	Caller  string `json:"caller"`
	Service string `json:"service"`
}

// RetiredTrafficCount is one row of the table as it stood when it was read.
type RetiredTrafficCount struct {
	RetiredTrafficKey
	Refused     uint64    `json:"refused"`
	LastRefused time.Time `json:"last"`
}

// RetiredTraffic counts the refused calls of retired traffic by caller and service,
// so that operators see who still sends it. The path of a request reads an
// immutable map and updates atomics; a new row replaces the map.
type RetiredTraffic struct {
	rows     atomic.Pointer[map[RetiredTrafficKey]*retiredTrafficRow]
	observer atomic.Pointer[func(RetiredTrafficKey)]
}

type retiredTrafficRow struct {
	refused             atomic.Uint64
	lastRefusedUnixNano atomic.Int64
}

// SetObserver passes the row of each counted call to a function, for metrics. The
// number of distinct rows is bounded.
func (r *RetiredTraffic) SetObserver(f func(RetiredTrafficKey)) { r.observer.Store(&f) }

// CountRefusal adds a refused call. Any goroutine may call it.
func (r *RetiredTraffic) CountRefusal(key RetiredTrafficKey, now time.Time) {
	key.Caller = strings.ToValidUTF8(key.Caller[:min(len(key.Caller), maxCallerLength)], "")
	key, row := r.row(key)
	row.refused.Add(1)
	row.lastRefusedUnixNano.Store(now.UnixNano())
	if observe := r.observer.Load(); observe != nil {
		(*observe)(key)
	}
}

// row returns the row of a key and adds it when there is room.
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

// Rows returns the table, the row with most refusals first.
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
