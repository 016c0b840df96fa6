package configcheck

import (
	"cmp"
	"reflect"
	"slices"
	"strings"

	"mangostand.example/mangostand/pkg/dynconf"
)

// Change is a difference of one part between two configurations.
type Change struct {
	Action Action
	Place  Place
	// KeysAdded and KeysRemoved count the keys of a customer.
	KeysAdded, KeysRemoved int
}

// CheckOpened returns the rules to which requests needed an API key under an earlier
// configuration and need none under the next one.
func CheckOpened(from, to *Draft) []Finding {
	if !from.RequiresKeys {
		return nil
	}
	type path struct{ host, prefix string }
	public := map[path]bool{}
	for _, h := range from.Hosts {
		for _, r := range h.Rules {
			public[path{strings.ToLower(h.Name), r.Prefix}] = r.Public
		}
	}
	var opened []Finding
	for _, h := range to.Hosts {
		for _, r := range h.Rules {
			before, found := public[path{strings.ToLower(h.Name), r.Prefix}]
			if !found || before || to.RequiresKeys && !r.Public {
				continue
			}
			finding := Finding{Opened, Place{Kind: Rule, Host: h.Name, Name: r.Name}, FieldPublic, "requests needed a key and the rule is public now"}
			if !to.RequiresKeys {
				finding.Field, finding.Text = FieldKeys, "requests needed a key and the configuration has no list of customers now"
			}
			opened = append(opened, finding)
		}
	}
	return opened
}

// Action says what happened to a part.
type Action string

// Actions.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Difference returns how a configuration differs from an earlier one: limits, hosts
// and rules, clusters, customers, each sorted by name.
func Difference(from, to *Draft) []Change {
	a, b := collectParts(from), collectParts(to)
	var changes []Change
	for id, after := range b {
		before, found := a[id]
		change := Change{Changed, id.Place, countMissing(after.keys, before.keys), countMissing(before.keys, after.keys)}
		if !found {
			change.Action = Added
		}
		if !reflect.DeepEqual(before.value, after.value) || change.KeysAdded+change.KeysRemoved > 0 {
			changes = append(changes, change)
		}
	}
	for id, before := range a {
		if _, found := b[id]; !found {
			changes = append(changes, Change{Action: Removed, Place: id.Place, KeysRemoved: len(before.keys)})
		}
	}
	order := []Kind{Limits, Host, Rule, Cluster, Customer}
	slices.SortFunc(changes, func(x, y Change) int {
		return cmp.Or(
			cmp.Compare(slices.Index(order, x.Place.Kind), slices.Index(order, y.Place.Kind)),
			cmp.Compare(x.Place.Host, y.Place.Host), cmp.Compare(x.Place.Name, y.Place.Name), cmp.Compare(x.Action, y.Action),
			cmp.Compare(x.KeysAdded, y.KeysAdded), cmp.Compare(x.KeysRemoved, y.KeysRemoved),
		)
	})
	return changes
}

// partID tells parts of the same name apart by their order.
type partID struct {
	Place
	number int
}

type part struct {
	value any
	keys  map[dynconf.APIKeyDigest]bool
}

func collectParts(d *Draft) map[partID]part {
	parts, counts := map[partID]part{}, map[Place]int{}
	add := func(place Place, p part) {
		parts[partID{place, counts[place]}] = p
		counts[place]++
	}
	add(Place{Kind: Limits}, part{value: d.Limits})
	for _, h := range d.Hosts {
		host := strings.ToLower(h.Name)
		parts[partID{Place: Place{Kind: Host, Host: host}}] = part{value: host}
		for _, r := range h.Rules {
			add(Place{Kind: Rule, Host: host, Name: r.Name}, part{value: r})
		}
	}
	for _, c := range d.Clusters {
		add(Place{Kind: Cluster, Name: c.Name}, part{value: c})
	}
	for _, c := range d.Customers {
		keys := map[dynconf.APIKeyDigest]bool{}
		for _, k := range c.Keys {
			keys[k] = true
		}
		add(Place{Kind: Customer, Name: c.Name}, part{c.Customer, keys})
	}
	return parts
}

// countMissing returns how many of the keys the other set does not have.
func countMissing(keys, other map[dynconf.APIKeyDigest]bool) int {
	n := 0
	for k := range keys {
		if !other[k] {
			n++
		}
	}
	return n
}
