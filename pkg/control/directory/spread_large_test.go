//go:build large

package directory

func init() { spreadSizes = append(spreadSizes, 1000) }
