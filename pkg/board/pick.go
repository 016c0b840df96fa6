package board

import "time"

// PickRequest holds what a picker may use to choose an instance.
type PickRequest struct {
	Now time.Time
	// Random is a uniformly distributed number.
	Random uint64
	// Exclude lists instances that must not be chosen again for this call.
	Exclude []InstanceID
}

// Excludes reports whether an instance is on the exclude list.
func (r *PickRequest) Excludes(id InstanceID) bool {
	for _, e := range r.Exclude {
		if e == id {
			return true
		}
	}
	return false
}

// Picker chooses an instance for a call. It is immutable, is replaced as a
// whole when its inputs change, and may be called from any goroutine.
type Picker interface {
	// Pick returns the cell of the chosen instance, or nil when no instance
	// can take the call.
	Pick(req *PickRequest) *Endpoint
}

// Pickers holds the picker of each service.
type Pickers struct {
	ByService map[string]Picker
}
