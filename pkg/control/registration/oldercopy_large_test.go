//go:build large

package registration

import "time"

// 600 nodes make 1,200 writes, and the store accepts 300 a second after a burst of 300.
func init() { reregistrationLimits[600] = 5 * time.Second }
