package publish

import (
	"cmp"
	"fmt"
	"slices"

	"filbertmill.example/config/source"
)

// Difference is one setting that differs between two configurations.
type Difference struct {
	// Section and Key identify the setting; Key is empty for a section itself.
	Section string
	Key     string
	// From and To are the values of the setting, nil where it is not set.
	From *string
	To   *string
}

// String returns the difference in a readable form.
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

// settingID identifies a setting; key is empty for a section itself.
type settingID struct{ section, key string }

// Diff returns the settings that differ between two texts, sorted by section and
// key. It ignores order, comments and spacing.
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

// settings returns the values of the settings in a text. The header of a section
// counts as a setting, so that Diff reports an added empty section.
func settings(text []byte) map[settingID]string {
	doc, _ := source.Read("", text)
	out := make(map[settingID]string)
	for _, s := range doc.Sections {
		out[settingID{section: s.Header}] = ""
		for _, e := range s.Entries {
			out[settingID{section: s.Header, key: e.Key}] = e.Value
		}
	}
	return out
}
