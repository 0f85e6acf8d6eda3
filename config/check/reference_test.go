package check

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/config/dynamic"
	"filbertmill.example/config/source"
	"filbertmill.example/config/static"
)

// settingsPage is the operators' page with a table for each section.
const settingsPage = "../../docs/operators/settings.md"

var (
	sectionHeading = regexp.MustCompile(`^### \[(.+)\]$`)
	settingRow     = regexp.MustCompile("^\\| `(\\w+)` \\| (.+) \\| (.+) \\| (.+) \\|$")
)

// documented reads the settings from the tables of the page.
func documented(t *testing.T) []source.Setting {
	t.Helper()
	page, err := os.ReadFile(settingsPage)
	qt.Assert(t, err, qt.IsNil)
	var settings []source.Setting
	section := ""
	for line := range strings.Lines(string(page)) {
		line = strings.TrimSpace(line)
		if heading := sectionHeading.FindStringSubmatch(line); heading != nil {
			section = heading[1]
			continue
		}
		row := settingRow.FindStringSubmatch(line)
		if row == nil {
			continue
		}
		s := source.Setting{Section: section, Key: row[1], Unit: row[2]}
		switch row[3] {
		case "required":
			s.Required = true
		case "none":
		default:
			s.Default = strings.Trim(row[3], "`")
		}
		settings = append(settings, s)
	}
	return settings
}

func TestSettingsPageAgreesWithTheCode(t *testing.T) {
	order := func(a, b source.Setting) int {
		return strings.Compare(a.Section+" "+a.Key, b.Section+" "+b.Key)
	}
	want := slices.Concat(static.Reference(), dynamic.Reference())
	got := documented(t)
	slices.SortFunc(want, order)
	slices.SortFunc(got, order)
	qt.Assert(t, got, qt.DeepEquals, want)
}

func TestExampleOfTheSettingsPage(t *testing.T) {
	page, err := os.ReadFile(settingsPage)
	qt.Assert(t, err, qt.IsNil)
	_, rest, found := strings.Cut(string(page), "```ini\n")
	qt.Assert(t, found, qt.IsTrue)
	example, _, _ := strings.Cut(rest, "```")
	qt.Assert(t, Source("example", []byte(example)), qt.HasLen, 0)
}
