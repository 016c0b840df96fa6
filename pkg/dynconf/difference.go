package dynconf

import (
	"fmt"
	"slices"
	"strings"
)

// maxCompared bounds the product of the line counts that are compared line by
// line, and with it the time and memory of one comparison. Larger changed
// blocks are shown as wholly replaced.
const maxCompared = 4 << 20

// Difference returns the change between two documents by file: removed lines
// with -, added lines with +, each with its line number. It is empty when the
// files are the same.
func Difference(from, to *Document) string {
	var text strings.Builder
	writeDifference(&text, "base", from.Base, to.Base)
	for _, site := range sitesOf(from, to) {
		writeDifference(&text, "overlay "+site, from.Overlays[site], to.Overlays[site])
	}
	return text.String()
}

func sitesOf(documents ...*Document) []string {
	var sites []string
	for _, d := range documents {
		for site := range d.Overlays {
			sites = append(sites, site)
		}
	}
	slices.Sort(sites)
	return slices.Compact(sites)
}

func writeDifference(text *strings.Builder, name, from, to string) {
	if from == to {
		return
	}
	fmt.Fprintf(text, "%s\n", name)
	a, b := splitLines(from), splitLines(to)
	start := commonPrefix(a, b)
	end := commonSuffix(a[start:], b[start:])
	writeLines(text, a[start:len(a)-end], b[start:len(b)-end], start+1)
}

func splitLines(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(text, "\n"), "\n")
}

func commonPrefix(a, b []string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

func commonSuffix(a, b []string) int {
	n := 0
	for n < len(a) && n < len(b) && a[len(a)-1-n] == b[len(b)-1-n] {
		n++
	}
	return n
}

// writeLines writes the difference of two blocks that start on line first.
func writeLines(text *strings.Builder, a, b []string, first int) {
	var common [][]int32
	if len(a)*len(b) <= maxCompared {
		common = commonLengths(a, b)
	}
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case common != nil && i < len(a) && j < len(b) && a[i] == b[j]:
			i++
			j++
		case i < len(a) && (j == len(b) || common == nil || common[i+1][j] >= common[i][j+1]):
			fmt.Fprintf(text, "-%d: %s\n", first+i, a[i])
			i++
		default:
			fmt.Fprintf(text, "+%d: %s\n", first+j, b[j])
			j++
		}
	}
}

// commonLengths returns, for each pair of positions, the length of the longest
// common subsequence of the rests.
func commonLengths(a, b []string) [][]int32 {
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
