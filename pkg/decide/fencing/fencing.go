// Package fencing checks fencing tokens, which show whether a message comes from
// the current holder of a lease. Each grant of a lease has a higher token than
// all grants before it.
package fencing

// Check returns the highest token seen after a message with the given token,
// and whether the message may take effect. A token below the highest one
// belongs to a holder whose lease has expired. Token 0 belongs to no grant.
func Check(highest, token uint64) (uint64, bool) {
	if token == 0 || token < highest {
		return highest, false
	}
	return token, true
}
