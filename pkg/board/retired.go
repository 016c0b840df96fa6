package board

import (
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// maxRetiredRows bounds the table, since callers choose their names.
	maxRetiredRows = 256
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

// RetiredCount is one row of the table as it stood when it was read.
type RetiredCount struct {
	RetiredTrafficKey
	Refused uint64    `json:"refused"`
	Last    time.Time `json:"last"`
}

// RetiredTraffic counts the refused calls of retired traffic by caller and service,
// so that operators see who still sends it. The path of a request reads an
// immutable map and updates atomics; a new row replaces the map.
type RetiredTraffic struct {
	rows    atomic.Pointer[map[RetiredTrafficKey]*retiredRow]
	observe atomic.Pointer[func(RetiredTrafficKey)]
}

type retiredRow struct {
	refused atomic.Uint64
	lastNS  atomic.Int64
}

// SetObserver passes the row of each counted call to a function, for metrics. The
// number of distinct rows is bounded.
func (r *RetiredTraffic) SetObserver(f func(RetiredTrafficKey)) { r.observe.Store(&f) }

// CountRefusal adds a refused call. Any goroutine may call it.
func (r *RetiredTraffic) CountRefusal(key RetiredTrafficKey, now time.Time) {
	key.Caller = strings.ToValidUTF8(key.Caller[:min(len(key.Caller), maxCallerLength)], "")
	key, row := r.row(key)
	row.refused.Add(1)
	row.lastNS.Store(now.UnixNano())
	if observe := r.observe.Load(); observe != nil {
		(*observe)(key)
	}
}

// row returns the row of a key and adds it when there is room.
func (r *RetiredTraffic) row(key RetiredTrafficKey) (RetiredTrafficKey, *retiredRow) {
	for {
		old := r.rows.Load()
		var rows map[RetiredTrafficKey]*retiredRow
		if old != nil {
			rows = *old
		}
		if row := rows[key]; row != nil {
			return key, row
		}
		if len(rows) >= maxRetiredRows-1 && key.Caller != otherCallers {
			key = RetiredTrafficKey{Caller: otherCallers}
			continue
		}
		next := make(map[RetiredTrafficKey]*retiredRow, len(rows)+1)
		maps.Copy(next, rows)
		row := &retiredRow{}
		next[key] = row
		if r.rows.CompareAndSwap(old, &next) {
			return key, row
		}
	}
}

// Rows returns the table, the row with most refusals first.
func (r *RetiredTraffic) Rows() []RetiredCount {
	counts := []RetiredCount{}
	rows := r.rows.Load()
	if rows == nil {
		return counts
	}
	for key, row := range *rows {
		counts = append(counts, RetiredCount{RetiredTrafficKey: key, Refused: row.refused.Load(), Last: time.Unix(0, row.lastNS.Load()).UTC()})
	}
	slices.SortFunc(counts, func(a, b RetiredCount) int {
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
