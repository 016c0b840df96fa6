//go:build large

package evacuation_test

func init() { largeSizes = []int{300, 600} }
