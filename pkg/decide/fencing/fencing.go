// Package fencing decides whether the holder of a lease may still act. Each
// grant of a lease has a higher token than all grants before it.
package fencing

// Check returns the highest token seen after a message with a token, and
// whether the message may take effect. A token lower than the highest belongs
// to a holder whose lease has lapsed. Token 0 belongs to no grant.
func Check(highest, token uint64) (uint64, bool) {
	if token == 0 || token < highest {
		return highest, false
	}
	return token, true
}
