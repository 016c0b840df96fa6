// Package pick builds the picker of a service. Each selection policy lives in
// a package of its own below this one.
package pick

import (
	"cmp"
	"slices"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/pick/hotcold"
	"mangostand.example/mangostand/pkg/decide/pick/random"
	"mangostand.example/mangostand/pkg/dynconf"
)

// Input holds what a policy may use.
type Input struct {
	// Cells lists the instances that may be chosen.
	Cells []*board.Cell
	// FailureDomain is the failure domain of the entry.
	FailureDomain string
	Balancing     dynconf.Balancing
}

// New returns a picker of the named policy. The configuration has checked the
// name; an unknown one gets the default policy.
func New(policy string, in Input) board.Picker {
	cells := slices.Clone(in.Cells)
	slices.SortFunc(cells, func(a, b *board.Cell) int { return cmp.Compare(a.Member.Instance, b.Member.Instance) })
	switch policy {
	case "random":
		return random.New(cells)
	default:
		return hotcold.New(cells, in.FailureDomain, in.Balancing)
	}
}
