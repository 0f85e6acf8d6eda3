package publish

import (
	"cmp"
	"fmt"
	"slices"

	"filbertmill.example/config/source"
)

// Difference is one setting that two configurations do not share.
type Difference struct {
	// Section and Key locate the setting; Key is empty for a whole section.
	Section string
	Key     string
	// From and To are its values, nil where it is not set.
	From *string
	To   *string
}

// String returns the difference for people.
func (d Difference) String() string {
	name := "[" + d.Section + "]"
	switch {
	case d.Key == "" && d.From == nil:
		return "+ " + name
	case d.Key == "":
		return "- " + name
	}
	name += " " + d.Key
	switch {
	case d.From == nil:
		return fmt.Sprintf("+ %s = %s", name, *d.To)
	case d.To == nil:
		return fmt.Sprintf("- %s = %s", name, *d.From)
	}
	return fmt.Sprintf("~ %s = %s (was %s)", name, *d.To, *d.From)
}

type place struct{ section, key string }

// Diff returns the settings that differ between two texts, by section and key.
// Order, comments and spacing do not count.
func Diff(from, to []byte) []Difference {
	a, b := settings(from), settings(to)
	var out []Difference
	for at, v := range a {
		if w, ok := b[at]; !ok {
			out = append(out, Difference{Section: at.section, Key: at.key, From: &v})
		} else if v != w {
			out = append(out, Difference{Section: at.section, Key: at.key, From: &v, To: &w})
		}
	}
	for at, w := range b {
		if _, ok := a[at]; !ok {
			out = append(out, Difference{Section: at.section, Key: at.key, To: &w})
		}
	}
	slices.SortFunc(out, func(x, y Difference) int {
		return cmp.Or(cmp.Compare(x.Section, y.Section), cmp.Compare(x.Key, y.Key))
	})
	return out
}

// settings returns the values of a text. A section's header counts as a
// setting, so that an added empty section shows.
func settings(text []byte) map[place]string {
	doc, _ := source.Read("", text)
	out := make(map[place]string)
	for _, s := range doc.Sections {
		out[place{section: s.Header}] = ""
		for _, e := range s.Entries {
			out[place{section: s.Header, key: e.Key}] = e.Value
		}
	}
	return out
}
