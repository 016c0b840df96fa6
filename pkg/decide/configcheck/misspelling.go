package configcheck

import "strings"

// maxMisspelling is the largest number of edits of a misspelling: two letters that
// change places are two edits.
const maxMisspelling = 2

// minMisspelled is the length of the shortest name that is compared. Shorter names are
// within the edits of each other.
const minMisspelled = 2*maxMisspelling + 1

// ClosestName returns the known name of which an unknown one looks like a misspelling,
// or "". The first of equally close names is returned.
func ClosestName(name string, known []string) string {
	name = strings.ToLower(name)
	closest, fewest := "", maxMisspelling+1
	for _, k := range known {
		allowed := maxMisspelling
		if len(k) < minMisspelled {
			allowed = 1
		}
		if len(name) > len(k)+allowed || len(k) > len(name)+allowed {
			continue
		}
		if edits := editDistance(name, k); edits <= allowed && edits < fewest {
			closest, fewest = k, edits
		}
	}
	return closest
}

// editDistance returns the number of bytes to insert, remove or replace.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			replaced := diagonal
			if a[i] != b[j] {
				replaced++
			}
			diagonal = row[j+1]
			row[j+1] = min(replaced, diagonal+1, row[j]+1)
		}
	}
	return row[len(b)]
}
