package dynconf

import (
	"fmt"
	"slices"
	"strings"
)

// maxLCSCells bounds the product of the line counts that are compared line by
// line, and with it the time and memory of one comparison. Larger changed
// blocks are shown as wholly replaced.
const maxLCSCells = 4 << 20

// Difference returns the change between two documents by file: removed lines
// with -, added lines with +, each with its line number. It is empty when the
// files are the same.
func Difference(from, to *Document) string {
	var out strings.Builder
	writeFileDifference(&out, "base", from.Base, to.Base)
	for _, site := range overlaySites(from, to) {
		writeFileDifference(&out, "overlay "+site, from.Overlays[site], to.Overlays[site])
	}
	return out.String()
}

func overlaySites(documents ...*Document) []string {
	var sites []string
	for _, d := range documents {
		for site := range d.Overlays {
			sites = append(sites, site)
		}
	}
	slices.Sort(sites)
	return slices.Compact(sites)
}

func writeFileDifference(out *strings.Builder, name, from, to string) {
	if from == to {
		return
	}
	fmt.Fprintf(out, "%s\n", name)
	a, b := splitLines(from), splitLines(to)
	start := commonPrefixLength(a, b)
	end := commonSuffixLength(a[start:], b[start:])
	writeBlockDifference(out, a[start:len(a)-end], b[start:len(b)-end], start+1)
}

func splitLines(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(text, "\n"), "\n")
}

func commonPrefixLength(a, b []string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

func commonSuffixLength(a, b []string) int {
	n := 0
	for n < len(a) && n < len(b) && a[len(a)-1-n] == b[len(b)-1-n] {
		n++
	}
	return n
}

// writeBlockDifference writes the difference of two blocks that start on line first.
func writeBlockDifference(out *strings.Builder, a, b []string, firstLine int) {
	var lcs [][]int32
	if len(a)*len(b) <= maxLCSCells {
		lcs = lcsLengths(a, b)
	}
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case lcs != nil && i < len(a) && j < len(b) && a[i] == b[j]:
			i++
			j++
		case i < len(a) && (j == len(b) || lcs == nil || lcs[i+1][j] >= lcs[i][j+1]):
			fmt.Fprintf(out, "-%d: %s\n", firstLine+i, a[i])
			i++
		default:
			fmt.Fprintf(out, "+%d: %s\n", firstLine+j, b[j])
			j++
		}
	}
}

// lcsLengths returns, for each pair of positions, the length of the longest
// common subsequence of the rests.
func lcsLengths(a, b []string) [][]int32 {
	table := make([][]int32, len(a)+1)
	for i := range table {
		table[i] = make([]int32, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				table[i][j] = table[i+1][j+1] + 1
				continue
			}
			table[i][j] = max(table[i+1][j], table[i][j+1])
		}
	}
	return table
}
