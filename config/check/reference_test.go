package check

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/config/dynamic"
	"filbertmill.example/config/source"
	"filbertmill.example/config/static"
)

// settingsPage is the documentation page with a table of settings for each section.
const settingsPage = "../../docs/operators/settings.md"

var (
	sectionHeading = regexp.MustCompile(`^### \[(.+)\]$`)
	iniBlock       = regexp.MustCompile("(?s)```ini\n(.*?)```")
	settingRow     = regexp.MustCompile("^\\| `(\\w+)` \\| (.+) \\| (.+) \\| (.+) \\|$")
)

// documentedSettings reads the settings from the tables of settingsPage.
func documentedSettings(t *testing.T) []source.Setting {
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
	compare := func(a, b source.Setting) int {
		return strings.Compare(a.Section+" "+a.Key, b.Section+" "+b.Key)
	}
	want := slices.Concat(static.Reference(), dynamic.Reference())
	got := documentedSettings(t)
	slices.SortFunc(want, compare)
	slices.SortFunc(got, compare)
	qt.Assert(t, got, qt.DeepEquals, want)
}

func TestExamplesOfThePages(t *testing.T) {
	pages, err := filepath.Glob(filepath.Join(filepath.Dir(settingsPage), "*.md"))
	qt.Assert(t, err, qt.IsNil)
	examples := 0
	for _, file := range pages {
		page, err := os.ReadFile(file)
		qt.Assert(t, err, qt.IsNil)
		for _, block := range iniBlock.FindAllSubmatch(page, -1) {
			examples++
			qt.Check(t, Source(file, block[1]), qt.HasLen, 0, qt.Commentf("%s", block[1]))
		}
	}
	qt.Assert(t, examples > 0, qt.IsTrue)
}
