package dynconf

import (
	"fmt"
	"slices"
	"strings"
)

// maxLCSCells limits the size of the table of the longest common subsequence
// (LCS), and with it the time and memory of one comparison. If a changed block
// needs a larger table, all its old lines are shown as removed and all its new
// lines as added.
const maxLCSCells = 4 << 20

// Difference returns the line difference between the files of two documents:
// the name of each changed file, then its removed lines marked - and its added
// lines marked +, each with its line number. It is empty if no file changed.
func Difference(from, to *Document) string {
	var out strings.Builder
	writeFileDifference(&out, "base", from.Base, to.Base)
	for _, site := range overlaySites(from, to) {
		writeFileDifference(&out, "overlay "+site, from.Overlays[site], to.Overlays[site])
	}
	return out.String()
}

// overlaySites returns the sorted names of the sites that have an overlay in
// any of the documents.
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

// writeBlockDifference writes the difference of two blocks of lines that both
// start at firstLine of their file.
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

// lcsLengths returns a table whose entry [i][j] is the length of the longest
// common subsequence of a[i:] and b[j:].
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
