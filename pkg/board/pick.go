package board

import "time"

// PickRequest holds the inputs of one pick.
type PickRequest struct {
	Now time.Time
	// Random is a uniformly distributed random number.
	Random uint64
	// Exclude lists the instances that must not be picked again for this call.
	Exclude []InstanceID
}

// Excludes reports whether an instance must not be picked.
func (r *PickRequest) Excludes(id InstanceID) bool {
	for _, e := range r.Exclude {
		if e == id {
			return true
		}
	}
	return false
}

// Picker selects the instance for a call. It is immutable: when its inputs
// change, a new picker replaces it. Any goroutine may call it.
type Picker interface {
	// Pick returns the endpoint of the selected instance, or nil when no
	// instance can accept the call.
	Pick(req *PickRequest) *Endpoint
}

// Pickers holds the picker of each service.
type Pickers struct {
	ByService map[string]Picker
}
